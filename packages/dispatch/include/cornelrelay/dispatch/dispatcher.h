#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "cornelrelay/core/random.h"
#include "cornelrelay/dispatch/dispatch_action.h"
#include "cornelrelay/dispatch/dispatch_event.h"
#include "cornelrelay/dispatch/served_shares.h"
#include "cornelrelay/dispatch/upstream_pool.h"
#include "cornelrelay/limits/fair_queue.h"

namespace cornelrelay::dispatch {

struct DispatcherConfig {
  std::uint64_t seed = 0;
  UpstreamPoolConfig upstreams{};
  /// Assumed time of a request on its upstream until the first one has completed.
  core::Duration initial_service_time = std::chrono::milliseconds(100);
  /// Assumed time to the first output until the first output has been seen.
  core::Duration initial_time_to_first_output = std::chrono::milliseconds(50);
  /// Time in which an upstream reads one token of a prompt. 0 if it is not known: then prompts do
  /// not change the order of the queue, and requests that end too late are started nevertheless.
  core::Duration prompt_token_time{};
  /// Share of the slack that a request may wait for a slot. The slack is the target latency minus
  /// the mean time to the first output.
  double max_wait_share = 0.9;
  /// Minimum retry-after while the service has no upstream or all its upstreams refuse because of
  /// an unavailable one. The members of a group take about this long to form it again.
  core::Duration blocked_retry_after = std::chrono::milliseconds(2'200);
};

/// \brief Queues, rejects and assigns the requests of one service.
///
/// While all upstreams are full, requests that can still start in time wait in a queue that is fair
/// between accounts and ordered by priority. Other requests are rejected at once with an estimate
/// of the time until a slot is free.
///
/// Where requests have different priorities, only requests of the same or a higher priority delay
/// others. A queued request that more urgent ones leave no time to start is rejected at once. A
/// priority of which too few requests are served is treated as the most urgent one for a time. See
/// docs/design/admission-under-overload.md.
///
/// \code
/// Dispatcher dispatcher(config);
/// for (const DispatchAction& action : dispatcher.Step(now, RequestArrived{...})) ...
/// \endcode
class Dispatcher {
 public:
  explicit Dispatcher(DispatcherConfig config);

  std::vector<DispatchAction> Step(core::Instant now, const DispatchEvent& event);

  /// \brief Returns when DispatchTick is due; none if nothing waits for a point in time.
  std::optional<core::Instant> NextWake() const;

  /// \brief Returns the number of requests of this process on each upstream that has any.
  std::map<core::UpstreamId, std::uint32_t> InFlight() const { return m_upstreams.InFlight(); }
  std::size_t waiting() const { return m_queue.size(); }
  /// \brief Returns the number of queued requests of each priority that has any.
  std::map<std::uint8_t, std::uint32_t> WaitingByPriority() const {
    return m_queue.SizeByPriority();
  }
  /// \brief Returns the moving average of the time of a request on its upstream.
  core::Duration mean_service_time() const { return m_mean_service_time; }
  /// \brief Returns the moving average of the time from assignment to the first output.
  core::Duration mean_time_to_first_output() const { return m_mean_time_to_first_output; }
  /// \brief Returns what answers to this process said of rate limits, for upstreams that have or
  /// had one.
  std::map<core::UpstreamId, RateLimitObservation> OwnRateLimits(core::Instant now) const {
    return m_upstreams.OwnRateLimits(now);
  }
  /// \brief Returns the number of upstreams that are cold or in the ramp after it.
  std::size_t cold_upstreams() const { return m_upstreams.cold_count(); }
  /// \brief Returns when a request of the service last gave output.
  core::Instant last_output() const { return m_upstreams.last_output(); }
  /// \brief Returns when the upstream last showed a sign of life in any request; the epoch if it
  /// has not.
  core::Instant LastSignOfLife(const core::UpstreamId& upstream) const {
    return m_upstreams.LastSignOfLife(upstream);
  }

 private:
  struct WaitingRequest {
    RequestArrived arrival;
    core::Instant arrived;
    core::Instant start_by;
    std::uint8_t priority = 0;  ///< with which it waits; its own or a higher one
  };
  struct SoughtPlace {
    PlaceSought request;
    core::Instant since;
  };
  struct RunningRequest {
    core::UpstreamId upstream;
    core::Instant started;
    double prompt_tokens = 0;
    bool has_output = false;
  };
  /// \brief Queued requests that are likely to start before another one.
  struct Ahead {
    double own = 0;    ///< in this process
    double peers = 0;  ///< in the other entry processes
  };
  using Actions = std::vector<DispatchAction>;

  void Apply(core::Instant now, const UpstreamsChanged& event, Actions& out);
  void Apply(core::Instant now, const PeerLoadChanged& event, Actions& out);
  void Apply(core::Instant now, const RateLimitObserved& event, Actions& out);
  void Apply(core::Instant now, const BackoffRequested& event, Actions& out);
  void Apply(core::Instant now, const PeerRateLimitsChanged& event, Actions& out);
  void Apply(core::Instant now, const PromptWeightChanged& event, Actions& out);
  void Apply(core::Instant now, const RequestArrived& event, Actions& out);
  void Apply(core::Instant now, const PlaceSought& event, Actions& out);
  void Apply(core::Instant now, const RequestWithdrawn& event, Actions& out);
  void Apply(core::Instant now, const FirstOutputReceived& event, Actions& out);
  void Apply(core::Instant now, const AttemptEnded& event, Actions& out);
  void Apply(core::Instant now, const DispatchTick& event, Actions& out);

  /// \brief Returns whether requests of different priorities compete. Without, the rules for
  /// priorities have no effect.
  bool HasPriorities() const;
  /// \brief Returns the priority with which a new request waits.
  std::uint8_t QueuePriority(core::Instant now, const RequestArrived& event) const;
  /// \param place_in_class part of the queued requests of this priority that start earlier
  double PeersAhead(std::uint8_t priority, double place_in_class) const;
  Ahead AheadOfNew(const core::ClientAccountId& account, std::uint8_t priority) const;
  core::Duration PromptTime(const RequestArrived& request) const;
  /// \brief Returns when the request has to start at the latest to give its first output before
  /// its deadline. The deadline itself if no running request could correct the estimate.
  core::Instant LastStart(const RequestArrived& request) const;
  core::Duration ExpectedWait(core::Instant now, const Ahead& ahead) const;
  /// \brief Returns the lowest priority that may take a free slot now.
  std::uint8_t LeastUrgentToStart(core::Instant now) const;
  std::size_t TotalWaiting() const;
  core::Duration JitteredRetryAfter(core::Duration min_delay);
  void Assign(core::Instant now, const core::UpstreamId& upstream, const core::RequestId& request,
              double prompt_tokens, core::Duration waited, Actions& out);
  void Reject(const RequestArrived& request, RejectReason reason, core::Duration wait,
              core::Duration retry_after, Actions& out);
  void AssignSought(core::Instant now, Actions& out);
  void AssignWaiting(core::Instant now, Actions& out);
  /// \brief Returns the retry time of a request that has waited as long as it could.
  core::Duration RetryAfterTimeout(core::Instant now, const limits::QueuedRequest& item) const;
  void RejectUnstartable(core::Instant now, Actions& out);
  void RejectOverdueOrBlocked(core::Instant now, Actions& out);

  DispatcherConfig m_config;
  core::Instant m_now{};  ///< time of the last step
  core::Random m_random;
  UpstreamPool m_upstreams;
  std::map<core::RequestId, WaitingRequest> m_waiting;
  std::map<core::RequestId, RunningRequest> m_running;
  limits::FairQueue m_queue;
  std::vector<SoughtPlace> m_sought;                      ///< in the order of their arrival
  std::map<std::uint8_t, std::uint32_t> m_peers_waiting;  ///< by priority
  ServedShares m_shares;
  core::Duration m_mean_service_time;
  core::Duration m_mean_time_to_first_output;
};

}  // namespace cornelrelay::dispatch
