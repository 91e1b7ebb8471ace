#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <vector>

#include "cornelrelay/core/random.h"
#include "cornelrelay/dispatch/dispatch_action.h"
#include "cornelrelay/dispatch/dispatch_event.h"
#include "cornelrelay/dispatch/upstream_health.h"

namespace cornelrelay::dispatch {

struct UpstreamPoolConfig {
  HealthConfig health{};
  /// Prompt tokens that load an upstream as much as a generating request does.
  double prompt_tokens_per_slot = 800;
  /// How long an upstream that waits for another one gets nothing before it is tried again.
  core::Duration block_time = std::chrono::milliseconds(300);
};

/// \brief The upstreams of one service, with their load and what results say of them.
///
/// An upstream takes as many requests as it has slots, counting those of all entry processes.
class UpstreamPool {
 public:
  using Actions = std::vector<DispatchAction>;

  struct Places {
    std::uint64_t all = 0;
    std::uint64_t taken = 0;
  };
  struct Load {
    std::uint32_t own = 0;    ///< requests of this process
    std::uint32_t peers = 0;  ///< of other processes
  };

  UpstreamPool(UpstreamPoolConfig config, std::uint64_t seed) : m_config(config), m_random(seed) {}

  void Set(const std::vector<UpstreamSpec>& upstreams);
  void SetPeers(const std::map<core::UpstreamId, std::uint32_t>& in_flight);

  void SetPromptWeight(double prompt_tokens_per_slot) {
    m_config.prompt_tokens_per_slot = prompt_tokens_per_slot;
  }

  /// \brief One of the least loaded upstreams with room; none if there is no such.
  std::optional<core::UpstreamId> Choose(core::Instant now,
                                         const std::set<core::UpstreamId>& excluded);
  /// \brief An attempt begins. \returns the load with it
  Load Begin(const core::UpstreamId& id, double prompt_tokens);
  /// \brief The first output of an attempt. \param prompt_tokens those given to Begin
  void FirstOutput(const core::UpstreamId& id, double prompt_tokens, Actions& out);
  /// \param prompt_tokens those given to Begin, 0 after an output
  void End(core::Instant now, const core::UpstreamId& id, double prompt_tokens, AttemptEnd end,
           Actions& out);
  /// \brief Some request of the service gave output.
  void NoteOutput(core::Instant now) { m_last_output = now; }

  bool AnyListed() const;
  /// \brief All wait for another upstream, and none may be tried now.
  bool AllBlocked(core::Instant now) const;
  Places CountPlaces() const;
  /// \brief When a blocked upstream may be tried again.
  std::optional<core::Instant> NextUnblock() const;
  /// \brief Requests of this process on each upstream.
  std::map<core::UpstreamId, std::uint32_t> InFlight() const;
  core::Instant last_output() const { return m_last_output; }

 private:
  struct Upstream {
    explicit Upstream(UpstreamSpec s, const HealthConfig& config)
        : spec(std::move(s)), health(config) {}
    UpstreamSpec spec;
    UpstreamHealth health;
    bool listed = true;
    std::uint32_t own = 0;
    std::uint32_t peers = 0;
    double prompt_tokens = 0;                    ///< of own requests without output so far
    std::optional<core::Instant> blocked_until;  ///< waits for another upstream; cleared by output
  };

  bool HasRoom(const Upstream& upstream) const;
  bool Admits(core::Instant now, const Upstream& upstream) const;
  double LoadOf(const Upstream& upstream) const;
  void NoteResult(core::Instant now, Upstream& upstream, AttemptEnd end, Actions& out);
  void NoteBlocked(core::Instant now, Upstream& upstream, Actions& out);
  void SetBlocked(bool blocked, Actions& out);

  UpstreamPoolConfig m_config;
  core::Random m_random;
  std::map<core::UpstreamId, Upstream> m_upstreams;
  core::Instant m_last_output{};
  bool m_blocked = false;
};

}  // namespace cornelrelay::dispatch
