#pragma once

#include <chrono>
#include <cstdint>
#include <optional>

#include "cornelrelay/core/endpoint.h"
#include "cornelrelay/core/ids.h"
#include "cornelrelay/core/time.h"
#include "cornelrelay/relay/relay_request.h"

namespace cornelrelay::relay {

/// \brief One attempt to send a request to an upstream.
struct UpstreamRequest {
  core::UpstreamId upstream;  ///< expected upstream; any other one at this address must refuse
  core::Endpoint endpoint;
  RelayRequest request;
  std::optional<core::ClientAccountId> account;
  std::uint8_t priority = 5;                  ///< 0 is the highest
  std::optional<std::uint64_t> resume_after;  ///< id of the last event that was forwarded
  /// Time without an event of a stream after which its caller disconnects.
  core::Duration caller_patience = std::chrono::seconds(2);
  core::Instant deadline;  ///< time at which the upstream stops working on the request

  friend bool operator==(const UpstreamRequest&, const UpstreamRequest&) = default;
};

}  // namespace cornelrelay::relay
