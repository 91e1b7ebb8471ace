#pragma once

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>

#include "cornelrelay/claims/claim_client.h"
#include "cornelrelay/claims/claim_owner.h"
#include "cornelrelay/claims/partitions.h"
#include "cornelrelay/entry/claim_port.h"
#include "cornelrelay/runtime/control_plane.h"
#include "cornelrelay/runtime/process_clock.h"
#include "cornelrelay/runtime/store_link.h"
#include "cornelrelay/runtime/wake_timer.h"

namespace cornelrelay::entry {

/// \brief Runs the ClaimClient of a process and the ClaimOwners of the partitions that others ask
/// it for.
///
/// \code
/// ClaimHub claims(context, clock, store, control, host, incarnation, seed);
/// claims.SetMembers(live_entry_processes);
/// claims.Receive(from, message);
/// \endcode
class ClaimHub : public ClaimPort {
 public:
  ClaimHub(boost::asio::io_context& context, const runtime::ProcessClock& clock,
           runtime::StoreLink& store, runtime::ControlPlane& control, core::HostId self,
           std::uint64_t incarnation, std::uint64_t seed);

  void Request(const ClaimOrder& order, Notify notify) override;
  void Finish(const core::RequestId& request, request::ClaimOutcome outcome,
              const std::string& recorded) override;
  void Abandon(const core::RequestId& request) override;

  void SetMembers(const std::set<core::HostId>& members);

  /// \brief Takes a claim message; ignores all others.
  void Receive(const core::HostId& from, const wire::ControlMessage& message);

  const claims::ClaimClient& client() const { return m_client; }
  const std::map<std::uint32_t, claims::ClaimOwner>& owners() const { return m_owners; }

  /// \brief Whether outcomes still have to reach their owners; a graceful shutdown waits for them.
  bool HasUnfinished() const;

 private:
  void StepClient(const claims::ClientEvent& event);
  void StepOwner(std::uint32_t partition, const claims::OwnerEvent& event);
  claims::ClaimOwner& Owner(std::uint32_t partition);
  void Perform(const claims::SendClaimCall& action);
  void Perform(const claims::SendClaimFinish& action);
  void Perform(const claims::GrantClaim& action);
  void Perform(const claims::DenyClaim& action);
  void Perform(std::uint32_t partition, const claims::StoreRead& action);
  void Perform(std::uint32_t partition, const claims::StoreSwap& action);
  void Perform(std::uint32_t partition, const claims::SendClaimReply& action);
  void Perform(std::uint32_t partition, const claims::SendFinishAck& action);
  void Tell(const core::RequestId& request, const request::RequestEvent& event);
  void Tick();
  void ArmTimer();

  const runtime::ProcessClock& m_clock;
  runtime::StoreLink& m_store;
  runtime::ControlPlane& m_control;
  core::HostId m_self;
  std::uint64_t m_seed;
  claims::ClaimClient m_client;
  std::map<std::uint32_t, claims::ClaimOwner> m_owners;
  std::map<core::RequestId, Notify> m_waiting;
  runtime::WakeTimer m_timer;
};

}  // namespace cornelrelay::entry
