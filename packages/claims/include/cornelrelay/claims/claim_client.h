#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <vector>

#include "cornelrelay/claims/client_events.h"
#include "cornelrelay/claims/client_settings.h"
#include "cornelrelay/core/ids.h"
#include "cornelrelay/core/time.h"

namespace cornelrelay::claims {

/// \brief Obtains claims from the partition owners for the requests of one entry process and
/// records their outcomes.
///
/// \code
/// ClaimClient client(host, incarnation, seed, settings);
/// client.Step(now, LiveMembers{members});
/// for (const ClientAction& action : client.Step(now, ClaimRequested{...})) Perform(action);
/// \endcode
class ClaimClient {
 public:
  /// \param seed random for each start of the process: call ids must never repeat, also after a
  /// restart
  ClaimClient(const core::HostId& self, std::uint64_t incarnation, std::uint64_t seed,
              ClientSettings settings);

  /// \brief `now` counts from the Unix epoch and must not run backwards.
  std::vector<ClientAction> Step(core::Instant now, const ClientEvent& event);

  /// \brief When the next ClaimTick is due, if any.
  std::optional<core::Instant> NextTick() const;

  struct Waiting {
    core::RequestId request;
    ClaimCall message;
    core::Instant deadline;
    core::Instant resend_at;
  };
  struct Finishing {
    ClaimFinish message;
    core::Instant resend_at;
    core::Duration interval;
    std::size_t tries = 0;
  };

  /// \brief State for dumps and tests.
  const std::map<ClaimCallId, Waiting>& waiting() const { return m_waiting; }
  const std::map<core::RequestId, ClaimCall>& granted() const { return m_granted; }
  const std::map<ClaimCallId, Finishing>& finishing() const { return m_finishing; }
  const std::set<core::HostId>& members() const { return m_members; }
  std::uint64_t next_call() const { return m_next_call; }
  std::uint64_t abandoned_finishes() const { return m_abandoned_finishes; }

 private:
  using Actions = std::vector<ClientAction>;

  void On(core::Instant now, const ClaimRequested& event, Actions& out);
  void On(core::Instant now, const OutcomeKnown& event, Actions& out);
  void On(core::Instant now, const ClaimAbandoned& event, Actions& out);
  void On(core::Instant now, const ClaimReplyReceived& event, Actions& out);
  void On(core::Instant now, const FinishAckReceived& event, Actions& out);
  void On(core::Instant now, const LiveMembers& event, Actions& out);
  void On(core::Instant now, const ClaimTick& event, Actions& out);

  void Advance(core::Instant now, Actions& out);
  void StartFinish(core::Instant now, const ClaimCall& call, ClaimState outcome,
                   const std::string& recorded);
  void SendDueFinishes(core::Instant now, Actions& out);

  std::uint64_t m_call_prefix;
  std::uint64_t m_next_call = 1;
  ClientSettings m_settings;
  std::set<core::HostId> m_members;
  std::map<ClaimCallId, Waiting> m_waiting;
  std::map<core::RequestId, ClaimCall> m_granted;
  std::map<ClaimCallId, Finishing> m_finishing;
  std::uint64_t m_abandoned_finishes = 0;
};

}  // namespace cornelrelay::claims
