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
#include "cornelrelay/dispatch/upstream_pool.h"
#include "cornelrelay/limits/fair_queue.h"

namespace cornelrelay::dispatch {

struct DispatcherConfig {
  std::uint64_t seed = 0;
  UpstreamPoolConfig upstreams{};
  /// Assumed time of a request on its upstream before the first one ends.
  core::Duration initial_service_time = std::chrono::milliseconds(100);
  /// Assumed time to the first output before the first one comes.
  core::Duration initial_time_to_first_output = std::chrono::milliseconds(50);
  /// Share of the time to the target that a request may wait for a place.
  double wait_share = 0.9;
  /// Retry-after while all upstreams wait for one that is away; members of a group take about this
  /// long to form it again.
  core::Duration blocked_retry = std::chrono::milliseconds(2'200);
};

/// \brief Decides for the requests of one service who waits, who is refused and where work goes.
///
/// When all upstreams are full, requests wait in order of priority and account, as long as they can
/// still start in time; others are refused at once with the time at which there will be room.
///
/// \code
/// Dispatcher dispatcher(config);
/// for (const DispatchAction& action : dispatcher.Step(now, RequestArrived{...})) ...
/// \endcode
class Dispatcher {
 public:
  explicit Dispatcher(DispatcherConfig config);

  std::vector<DispatchAction> Step(core::Instant now, const DispatchEvent& event);

  /// \brief When DispatchTick is due; empty if nothing waits for time.
  std::optional<core::Instant> NextWake() const;

  /// \brief Requests of this process on each upstream.
  std::map<core::UpstreamId, std::uint32_t> InFlight() const { return m_upstreams.InFlight(); }
  std::size_t waiting() const { return m_queue.size(); }
  core::Duration mean_service_time() const { return m_mean_service_time; }
  core::Duration mean_time_to_first_output() const { return m_mean_time_to_first_output; }
  /// \brief When some request of the service last gave output.
  core::Instant last_output() const { return m_upstreams.last_output(); }

 private:
  struct Waiting {
    RequestArrived arrival;
    core::Instant arrived;
    core::Instant start_by;
  };
  struct Running {
    core::UpstreamId upstream;
    core::Instant started;
    double prompt_tokens = 0;
    bool has_output = false;
  };
  using Actions = std::vector<DispatchAction>;

  void Apply(core::Instant now, const UpstreamsChanged& event, Actions& out);
  void Apply(core::Instant now, const PeerLoadChanged& event, Actions& out);
  void Apply(core::Instant now, const PromptWeightChanged& event, Actions& out);
  void Apply(core::Instant now, const RequestArrived& event, Actions& out);
  void Apply(core::Instant now, const RequestWithdrawn& event, Actions& out);
  void Apply(core::Instant now, const FirstOutputReceived& event, Actions& out);
  void Apply(core::Instant now, const AttemptEnded& event, Actions& out);
  void Apply(core::Instant now, const DispatchTick& event, Actions& out);

  core::Duration ExpectedWait(const RequestArrived& event) const;
  core::Duration Spread(core::Duration least);
  void Assign(core::Instant now, const core::UpstreamId& upstream, const Waiting& waiting,
              Actions& out);
  void Reject(const core::RequestId& request, RejectReason reason, core::Duration wait,
              core::Duration retry_after, Actions& out);
  void Pump(core::Instant now, Actions& out);
  void RejectOverdue(core::Instant now, Actions& out);

  DispatcherConfig m_config;
  core::Random m_random;
  UpstreamPool m_upstreams;
  std::map<core::RequestId, Waiting> m_waiting;
  std::map<core::RequestId, Running> m_running;
  limits::FairQueue m_queue;
  std::uint32_t m_peers_waiting = 0;
  core::Duration m_mean_service_time;
  core::Duration m_mean_time_to_first_output;
};

}  // namespace cornelrelay::dispatch
