#pragma once

#include <cstdint>
#include <string>

#include "cornelrelay/core/execution.h"
#include "cornelrelay/core/ids.h"
#include "cornelrelay/net/http_message.h"

namespace cornelrelay::entry {

/// \brief A caller-facing error; `type` is stable and `execution` says whether the request ran.
struct TypedError {
  int status = 500;
  std::string type;
  std::string message;
  core::Execution execution = core::Execution::kUnknown;
  std::int64_t retry_after_ms = 0;  ///< 0 = no advice

  friend bool operator==(const TypedError&, const TypedError&) = default;
};

/// \brief `{"error":{type,message,execution,request_id,retry_after_ms}}`
std::string ToJsonText(const TypedError& error, const core::RequestId& request);

net::HttpResponse ToResponse(const TypedError& error, const core::RequestId& request);

/// \brief The server-sent event that ends a stream which already began.
std::string ToSseEvent(const TypedError& error, const core::RequestId& request);

}  // namespace cornelrelay::entry
