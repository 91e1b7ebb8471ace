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

namespace cornelrelay::dispatch {

/// \brief An upstream that may get requests.
struct UpstreamSpec {
  core::UpstreamId id;
  std::uint32_t slots = 1;        ///< requests that it runs at once
  std::uint64_t incarnation = 0;  ///< changes with each start

  friend bool operator==(const UpstreamSpec&, const UpstreamSpec&) = default;
};

/// \brief All upstreams of the service that may get requests now.
struct UpstreamsChanged {
  std::vector<UpstreamSpec> upstreams;
};

/// \brief What the other entry processes have in flight and waiting.
struct PeerLoadChanged {
  std::map<core::UpstreamId, std::uint32_t> in_flight;
  std::uint32_t waiting = 0;
};

/// \brief A new configuration knows other figures of the upstreams.
struct PromptWeightChanged {
  double prompt_tokens_per_slot = 1;  ///< see UpstreamPoolConfig
};

/// \brief A request needs an upstream.
struct RequestArrived {
  core::RequestId request;
  core::ClientAccountId account;
  std::uint8_t priority = 1;        ///< 0 is the highest
  core::Duration target_latency{};  ///< from its arrival to the first output
  core::Instant deadline = core::Instant::max();
  double prompt_tokens = 0;
  std::set<core::UpstreamId> excluded;  ///< upstreams that it has tried
};
/// \brief The request no longer needs an upstream; one that was assigned has ended already.
struct RequestWithdrawn {
  core::RequestId request;
};

struct FirstOutputReceived {
  core::RequestId request;
};

enum class AttemptEnd {
  kCompleted,
  kFailed,         ///< broken, silent or unreachable
  kErrorResponse,  ///< answered, but with a failure
  kRefused,        ///< not run, because the upstream is full
  kBlocked,        ///< not run, because of another upstream that it depends on
  kMisdirected,    ///< not run, because another upstream has the address
  kCancelled,      ///< ended from this side; says nothing about the upstream
};

/// \brief The attempt on the assigned upstream is over.
struct AttemptEnded {
  core::RequestId request;
  AttemptEnd end = AttemptEnd::kCompleted;
};

struct DispatchTick {};

using DispatchEvent =
    std::variant<UpstreamsChanged, PeerLoadChanged, PromptWeightChanged, RequestArrived,
                 RequestWithdrawn, FirstOutputReceived, AttemptEnded, DispatchTick>;

}  // namespace cornelrelay::dispatch
