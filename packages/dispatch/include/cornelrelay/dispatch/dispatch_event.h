#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <variant>
#include <vector>

#include "cornelrelay/core/ids.h"
#include "cornelrelay/core/time.h"
#include "cornelrelay/dispatch/rate_limit_share.h"

namespace cornelrelay::dispatch {

/// \brief An upstream that may get requests.
struct UpstreamSpec {
  core::UpstreamId id;
  std::uint32_t slots = 1;        ///< maximum number of concurrent requests
  std::uint64_t incarnation = 0;  ///< changes with each start of the upstream
  /// End of the time for which it takes only `cold_per_second`; none if it is not cold.
  std::optional<core::Instant> cold_until{};
  /// Requests per second from all entry processes together while it is cold; 0: no limit.
  double cold_per_second = 0;

  friend bool operator==(const UpstreamSpec&, const UpstreamSpec&) = default;
};

/// \brief The upstreams of the service changed.
struct UpstreamsChanged {
  std::vector<UpstreamSpec> upstreams;  ///< all that may get requests now
};

/// \brief The load of the other entry processes changed.
struct PeerLoadChanged {
  std::map<core::UpstreamId, std::uint32_t> in_flight;  ///< requests in flight on each upstream
  std::map<std::uint8_t, std::uint32_t> waiting;  ///< queued requests of this service by priority
};

/// \brief An answer of the upstream named a rate limit, or none.
struct RateLimitObserved {
  core::UpstreamId upstream;
  std::optional<double> per_second;
};

/// \brief The upstream refused a request and wants no more from this process for a time.
struct BackoffRequested {
  core::UpstreamId upstream;
  core::Duration time{};
};

/// \brief The other entry processes, or what they have heard of rate limits, changed.
struct PeerRateLimitsChanged {
  std::vector<core::HostId> processes;  ///< the live ones, this one included
  std::map<core::UpstreamId, RateLimitObservation> observations;
  /// Those that share the rates of cold upstreams: the live ones and others that may run although
  /// they are silent. If empty, the live ones.
  std::vector<core::HostId> possibly_running{};
};

/// \brief A new configuration changed how strongly unread prompts count towards the load of an
/// upstream, or how fast they are read.
struct PromptWeightChanged {
  /// Number of unread prompt tokens that load an upstream as much as one generating request.
  double prompt_tokens_per_slot = 1;
  core::Duration prompt_token_time{};  ///< to read one token; 0 if it is not known
};

/// \brief A request needs an upstream.
struct RequestArrived {
  core::RequestId request;
  core::ClientAccountId account;
  std::uint8_t priority = 1;        ///< 0 is the highest
  core::Duration target_latency{};  ///< from its arrival to the first output
  core::Instant deadline = core::Instant::max();
  double prompt_tokens = 0;
  std::set<core::UpstreamId> excluded;  ///< upstreams of its earlier attempts
};

/// \brief A request whose attempt has stalled wants a place on another upstream. The attempt goes
/// on meanwhile, under another id.
///
/// Gets the next free slot, before the requests that wait in the queue: it has begun before them.
/// It waits until it is assigned or withdrawn and is never rejected.
struct PlaceSought {
  core::RequestId request;
  double prompt_tokens = 0;
  std::set<core::UpstreamId> excluded;  ///< upstreams of its attempts, which are of no use to it
};

/// \brief The request no longer needs an upstream.
///
/// It leaves the queue. If it was assigned to an upstream, its attempt ends as with
/// AttemptEnd::kCancelled; a later AttemptEnded for it has no effect.
struct RequestWithdrawn {
  core::RequestId request;
};

struct FirstOutputReceived {
  core::RequestId request;
};

enum class AttemptEnd {
  kCompleted,
  kFailed,         ///< broken off, timed out or could not connect
  kErrorResponse,  ///< answered with an error
  kRefused,        ///< not executed, because the upstream is full
  kBlocked,        ///< not executed, because another upstream that it depends on is unavailable
  kMisdirected,    ///< not executed, because another upstream has taken over the address
  kCancelled,      ///< ended by this process; says nothing about the upstream
};

/// \brief The attempt on the assigned upstream is over.
struct AttemptEnded {
  core::RequestId request;
  AttemptEnd end = AttemptEnd::kCompleted;
};

struct DispatchTick {};

using DispatchEvent =
    std::variant<UpstreamsChanged, PeerLoadChanged, RateLimitObserved, BackoffRequested,
                 PeerRateLimitsChanged, PromptWeightChanged, RequestArrived, PlaceSought,
                 RequestWithdrawn, FirstOutputReceived, AttemptEnded, DispatchTick>;

}  // namespace cornelrelay::dispatch
