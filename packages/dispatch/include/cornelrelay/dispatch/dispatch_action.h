#pragma once

#include <cstddef>
#include <cstdint>
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
  std::uint32_t own_in_flight = 0;  ///< requests of this process on the upstream, this one included
  std::uint32_t peers_in_flight = 0;  ///< of the other processes, when they last told
  core::Duration waited{};
};

enum class RejectReason {
  kNoUpstream,    ///< the service has none that may be used
  kBlocked,       ///< all of them wait for one that is away
  kOverloaded,    ///< it could not start in time
  kQueueTimeout,  ///< it waited for its whole time without a free place
};
std::string_view ToString(RejectReason reason);

/// \brief The request gets no upstream; it was not sent.
struct Rejected {
  core::RequestId request;
  RejectReason reason = RejectReason::kOverloaded;
  core::Duration retry_after{};    ///< when there will be room for it, as far as known
  core::Duration expected_wait{};  ///< for a place, at the time of the decision
  std::size_t waiting = 0;         ///< requests of all processes that wait
};

/// \brief Results changed what is believed of an upstream.
struct HealthChanged {
  core::UpstreamId upstream;
  HealthState state = HealthState::kUsable;
  double failure_share = 0;
};

/// \brief The upstreams refuse because one of them is away, or accept again.
struct ServiceBlocked {
  bool blocked = false;
};

using DispatchAction = std::variant<Assigned, Rejected, HealthChanged, ServiceBlocked>;

}  // namespace cornelrelay::dispatch
