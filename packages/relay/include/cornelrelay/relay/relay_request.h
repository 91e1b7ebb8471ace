#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "cornelrelay/core/ids.h"
#include "cornelrelay/core/time.h"
#include "cornelrelay/net/http_headers.h"

namespace cornelrelay::relay {

/// \brief A caller's request after its headers have been understood.
struct RelayRequest {
  core::RequestId id;  ///< chosen by the caller, one for each of its attempts
  std::string host;
  std::string method;
  std::string target;
  std::string body;
  net::HttpHeaders forwarded_headers;         ///< headers that an upstream receives unchanged
  std::optional<std::string> api_key;         ///< API key
  std::optional<core::Duration> timeout;      ///< how long the caller waits
  std::optional<std::uint64_t> resume_after;  ///< last event that the caller has of the stream
  double prompt_tokens = 0;                   ///< 0 if not stated

  friend bool operator==(const RelayRequest&, const RelayRequest&) = default;
};

}  // namespace cornelrelay::relay
