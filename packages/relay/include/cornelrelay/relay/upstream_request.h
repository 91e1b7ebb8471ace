#pragma once

#include <cstdint>
#include <optional>

#include "cornelrelay/core/endpoint.h"
#include "cornelrelay/core/ids.h"
#include "cornelrelay/core/time.h"
#include "cornelrelay/relay/relay_request.h"

namespace cornelrelay::relay {

/// \brief One attempt to send a request to an upstream.
struct UpstreamRequest {
  core::UpstreamId upstream;  ///< any other upstream at this address must refuse
  core::Endpoint endpoint;
  RelayRequest request;
  std::optional<core::ClientAccountId> account;
  std::optional<std::uint64_t> resume_after;  ///< last event that was forwarded
  core::Instant deadline;                     ///< the upstream stops work at this time

  friend bool operator==(const UpstreamRequest&, const UpstreamRequest&) = default;
};

}  // namespace cornelrelay::relay
