#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "cornelrelay/core/ids.h"
#include "cornelrelay/core/time.h"
#include "cornelrelay/net/http_headers.h"
#include "cornelrelay/net/shared_body.h"

namespace cornelrelay::relay {

/// \brief A caller's request with its decoded headers.
struct RelayRequest {
  core::RequestId id;  ///< chosen by the caller, different for each attempt of the caller
  std::string host;
  std::string method;
  std::string target;
  net::SharedBody body;
  net::HttpHeaders forwarded_headers;  ///< headers that an upstream receives unchanged
  std::optional<std::string> api_key;
  std::optional<core::Duration> timeout;      ///< how long the caller waits for the response
  std::optional<std::uint64_t> resume_after;  ///< id of the last event that the caller received
  double prompt_tokens = 0;                   ///< 0 if the request does not state it
  /// Ids of the segments of the prompt that other requests may share, in the order of the prompt.
  std::vector<std::string> shared_segments;

  friend bool operator==(const RelayRequest&, const RelayRequest&) = default;
};

}  // namespace cornelrelay::relay
