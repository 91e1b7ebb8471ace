#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string_view>
#include <variant>

#include "cornelrelay/core/ids.h"
#include "cornelrelay/core/time.h"
#include "cornelrelay/dispatch/upstream_health.h"

namespace cornelrelay::dispatch {

/// \brief Send the request to this upstream. It counts as in flight from now on.
struct Assigned {
  core::RequestId request;
  core::UpstreamId upstream;
  /// Requests of this process in flight on the upstream, this one included.
  std::uint32_t own_in_flight = 0;
  /// Requests of the other entry processes in flight on it, as last reported.
  std::uint32_t peers_in_flight = 0;
  core::Duration waited{};  ///< time in the queue
};

enum class RejectReason {
  kNoUpstream,    ///< the service has no upstream that may be used
  kBlocked,       ///< all upstreams refuse, because one that they depend on is unavailable
  kOverloaded,    ///< the expected wait exceeds the time within which the request has to start
  kDisplaced,     ///< more urgent requests use up the time within which it has to start
  kTooLate,       ///< its caller leaves before it could give its first output
  kQueueTimeout,  ///< no slot became free within the time that the request could wait
};
std::string_view ToString(RejectReason reason);

/// \brief The request gets no upstream. It was not sent.
struct Rejected {
  core::RequestId request;
  std::uint8_t priority = 0;  ///< of the request; 0 is the highest
  RejectReason reason = RejectReason::kOverloaded;
  core::Duration retry_after{};  ///< jittered time after which the caller may retry
  /// Estimated wait for a slot; with kQueueTimeout, the time that the request has waited. 0 with
  /// kNoUpstream and kBlocked.
  core::Duration expected_wait{};
  std::size_t waiting = 0;  ///< requests that are queued in all entry processes
};

/// \brief Results changed the health of an upstream.
struct HealthChanged {
  core::UpstreamId upstream;
  HealthState state = HealthState::kUsable;
  double failure_share = 0;
};

/// \brief The upstreams of the service refuse requests because one that they depend on is
/// unavailable, or (`blocked` is false) one of them gives output again.
struct ServiceBlocked {
  bool blocked = false;
};

/// \brief An upstream named another rate limit, or none any more.
struct RateLimitChanged {
  core::UpstreamId upstream;
  std::optional<double> per_second;
  double own_per_second = 0;  ///< share of this process
};

/// \brief An upstream became cold, or (`cold` is false) the ramp after its cold time is over.
struct ColdChanged {
  core::UpstreamId upstream;
  bool cold = false;
  core::Duration remaining{};  ///< cold time that is left, without the ramp
  double per_second = 0;       ///< from all entry processes together
  double own_per_second = 0;   ///< share of this process after it has settled
  std::size_t processes = 0;   ///< that share the rate as far as this process knows
};

using DispatchAction =
    std::variant<Assigned, Rejected, HealthChanged, ServiceBlocked, RateLimitChanged, ColdChanged>;

}  // namespace cornelrelay::dispatch
