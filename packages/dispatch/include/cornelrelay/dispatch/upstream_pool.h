#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <utility>
#include <vector>

#include "cornelrelay/core/random.h"
#include "cornelrelay/dispatch/dispatch_action.h"
#include "cornelrelay/dispatch/dispatch_event.h"
#include "cornelrelay/dispatch/rate_limit_share.h"
#include "cornelrelay/dispatch/upstream_health.h"

namespace cornelrelay::dispatch {

struct UpstreamPoolConfig {
  core::HostId self;  ///< this entry process
  HealthConfig health{};
  /// Number of unread prompt tokens that load an upstream as much as one generating request.
  double prompt_tokens_per_slot = 800;
  /// How long an upstream gets no requests after it refused one because another upstream that it
  /// depends on is unavailable. Also the time without output after which such refusals can block
  /// the whole service.
  core::Duration block_time = std::chrono::milliseconds(300);
  /// How long peers are told that an upstream names no limit any more.
  core::Duration limit_end_report_time = std::chrono::minutes(1);
  /// How long a cold upstream gets nothing from this process after it has learnt of it. The other
  /// processes may use the whole rate until they have heard of this one; statuses are at most 250
  /// ms old.
  core::Duration cold_settle_time = std::chrono::milliseconds(500);
  /// After the cold time the rate doubles at this interval. One second is the window in which the
  /// platform counts the requests of a cold upstream.
  core::Duration cold_ramp_doubling = std::chrono::seconds(1);
  /// How long the ramp lasts. Four doublings are 16 times the cold rate, which is more than an
  /// upstream gets in normal operation.
  core::Duration cold_ramp_time = std::chrono::seconds(4);
};

/// \brief The upstreams of one service with their load and health.
///
/// An upstream gets at most as many concurrent requests as it has slots, counting the requests of
/// all entry processes. Rate limits that it names, and the rate that it tolerates while it is cold,
/// are shared between the processes (see RateShareOf); where both hold, the lower one binds.
class UpstreamPool {
 public:
  using Actions = std::vector<DispatchAction>;

  /// \brief Slots of all listed upstreams together that get requests now. An upstream with a rate
  /// limit has as many as the limit keeps in use.
  struct Capacity {
    double slots = 0;
    double used = 0;  ///< slots in use by any entry process
  };
  /// \brief What this process may send if all listed upstreams have rate limits.
  struct RateCapacity {
    double own_per_second = 0;
    double own_saved = 0;  ///< requests that this process may send now
  };
  /// \brief Requests in flight on one upstream.
  struct Load {
    std::uint32_t own_in_flight = 0;    ///< requests of this process
    std::uint32_t peers_in_flight = 0;  ///< requests of the other entry processes
  };

  UpstreamPool(UpstreamPoolConfig config, std::uint64_t seed)
      : m_config(std::move(config)),
        m_random(seed),
        m_processes({m_config.self}),
        m_possibly_running({m_config.self}) {}

  void SetUpstreams(const std::vector<UpstreamSpec>& upstreams);
  void SetPeerLoad(const std::map<core::UpstreamId, std::uint32_t>& in_flight);

  void ObserveRateLimit(core::Instant now, const core::UpstreamId& id,
                        const RateLimitObservation& observation, Actions& out);
  /// \param processes the live entry processes, this one included
  void SetProcesses(core::Instant now, const std::vector<core::HostId>& processes);
  /// \param processes those that share the rates of cold upstreams, this one included
  void SetColdSharers(core::Instant now, const std::vector<core::HostId>& processes);
  /// \brief Begins, ramps and ends the limits of cold upstreams. To be called in each step, before
  /// upstreams are chosen.
  void UpdateCold(core::Instant now, Actions& out);
  /// \brief Returns the number of listed upstreams that are cold or in the ramp after it.
  std::size_t cold_count() const;
  /// \brief Returns what this process has heard itself of upstreams that have or recently had a
  /// limit.
  std::map<core::UpstreamId, RateLimitObservation> OwnRateLimits(core::Instant now) const;
  void RecordOwnObservation(const core::UpstreamId& id, const RateLimitObservation& observation);

  /// \brief Gives the upstream no requests until a time, as it asked for.
  void BackOff(const core::UpstreamId& id, core::Instant until);

  void SetPromptWeight(double prompt_tokens_per_slot) {
    m_config.prompt_tokens_per_slot = prompt_tokens_per_slot;
  }

  /// \brief Returns one of the least loaded upstreams with a free slot; none if there is no such
  /// upstream.
  std::optional<core::UpstreamId> Choose(core::Instant now,
                                         const std::set<core::UpstreamId>& excluded);
  /// \brief Counts a new attempt.
  /// \returns the load of the upstream, the attempt included
  Load StartAttempt(core::Instant now, const core::UpstreamId& id, double prompt_tokens);
  /// \brief Records the first output of an attempt: the upstream has read the prompt.
  /// \param prompt_tokens the value given to StartAttempt()
  void RecordFirstOutput(const core::UpstreamId& id, double prompt_tokens, Actions& out);
  /// \brief Ends an attempt and updates the health of the upstream.
  /// \param prompt_tokens the value given to StartAttempt(), or 0 after an output
  void EndAttempt(core::Instant now, const core::UpstreamId& id, double prompt_tokens,
                  AttemptEnd end, Actions& out);
  /// \brief Records that some request of the service gave output.
  void RecordOutput(core::Instant now) { m_last_output = now; }

  /// \brief Records that the upstream gave output to some request.
  void RecordSignOfLife(core::Instant now, const core::UpstreamId& id);
  /// \brief Returns when the upstream last gave output or answered; the epoch if it has not.
  core::Instant LastSignOfLife(const core::UpstreamId& id) const;

  bool AnyListed() const;
  /// \brief Returns whether all listed upstreams are blocked by an unavailable one and none may be
  /// tried now.
  bool AllBlocked(core::Instant now) const;
  /// \param service_time mean time of a request on its upstream
  Capacity TotalCapacity(core::Instant now, core::Duration service_time) const;
  /// \brief Returns when the first upstream may get requests again if all listed ones have asked
  /// for none; none otherwise.
  std::optional<core::Instant> AllBackedOffUntil(core::Instant now) const;
  /// \brief Returns when the next upstream that has asked for no requests may get some again.
  std::optional<core::Instant> NextBackoffEnd(core::Instant now) const;
  /// \brief Returns none unless all listed upstreams have rate limits.
  std::optional<RateCapacity> LimitedCapacity(core::Instant now) const;
  /// \brief Returns when the next upstream with a rate limit may be used; none if none will.
  std::optional<core::Instant> NextRateAdmission(core::Instant now) const;
  /// \brief Returns when the first blocked upstream may be tried again; none if none is blocked.
  std::optional<core::Instant> NextUnblock() const;
  /// \brief Returns the number of requests of this process on each upstream that has any.
  std::map<core::UpstreamId, std::uint32_t> InFlight() const;
  core::Instant last_output() const { return m_last_output; }

 private:
  struct Upstream {
    explicit Upstream(UpstreamSpec s, const HealthConfig& config)
        : spec(std::move(s)), health(config) {}
    UpstreamSpec spec;
    UpstreamHealth health;
    bool listed = true;  ///< in the latest list; others are kept until their attempts end
    std::uint32_t own_in_flight = 0;
    std::uint32_t peers_in_flight = 0;
    double unread_prompt_tokens = 0;  ///< of requests of this process without output so far
    /// Set when the upstream is blocked by an unavailable one; cleared by an output.
    std::optional<core::Instant> blocked_until;
    core::Instant backed_off_until{};  ///< it asked for no requests before this time
    core::Instant last_sign_of_life{};
    RateLimitShare rate;
    std::optional<RateLimitObservation> own_observation;
    /// Limit while it is cold and in the ramp after it. Holds beside `rate`.
    RateLimitShare cold;
    std::optional<core::Instant> cold_end;  ///< set while the limit holds; the ramp begins then
    core::Instant cold_noticed{};           ///< when this process learnt of it
    std::size_t cold_rank = 0;              ///< of this process among those that share it
    bool cold_reported = false;
  };

  double ColdRateAt(core::Instant now, const Upstream& upstream) const;
  void SetColdShare(core::Instant now, Upstream& upstream) const;
  void ReportCold(core::Instant now, Upstream& upstream, Actions& out) const;
  /// \brief Returns when the share of a cold upstream changes next.
  core::Instant NextColdChange(core::Instant now, const Upstream& upstream) const;
  static bool RateAdmits(core::Instant now, const Upstream& upstream);
  static std::optional<double> RateLimitOf(const Upstream& upstream);
  static double RateShareOfProcess(const Upstream& upstream);
  bool HasFreeSlot(const Upstream& upstream) const;
  bool Admits(core::Instant now, const Upstream& upstream) const;
  double LoadOf(const Upstream& upstream) const;
  void RecordResult(core::Instant now, Upstream& upstream, AttemptEnd end, Actions& out);
  void RecordBlocked(core::Instant now, Upstream& upstream, Actions& out);
  void SetServiceBlocked(bool blocked, Actions& out);

  UpstreamPoolConfig m_config;
  core::Random m_random;
  std::vector<core::HostId> m_processes;
  std::vector<core::HostId> m_possibly_running;
  std::map<core::UpstreamId, Upstream> m_upstreams;
  core::Instant m_last_output{};
  bool m_service_blocked = false;
};

}  // namespace cornelrelay::dispatch
