#include "cornelrelay/entry/typed_error.h"

#include <nlohmann/json.hpp>

namespace cornelrelay::entry {
namespace {

constexpr std::int64_t kMillisecondsPerSecond = 1000;

}  // namespace

std::string ToJsonText(const TypedError& error, const core::RequestId& request) {
  nlohmann::json body{{"type", error.type},
                      {"message", error.message},
                      {"execution", core::ToString(error.execution)},
                      {"request_id", request.value()}};
  if (error.retry_after_ms > 0) body["retry_after_ms"] = error.retry_after_ms;
  return nlohmann::json{{"error", body}}.dump();
}

net::HttpResponse ToResponse(const TypedError& error, const core::RequestId& request) {
  net::HttpResponse response;
  response.status = error.status;
  response.headers["Content-Type"] = "application/json";
  response.headers["X-Request-Id"] = request.value();
  if (error.retry_after_ms > 0) {
    // Retry-After has whole seconds; rounding up never invites a caller too early.
    const auto seconds =
        (error.retry_after_ms + kMillisecondsPerSecond - 1) / kMillisecondsPerSecond;
    response.headers["Retry-After"] = std::to_string(seconds);
  }
  response.body = ToJsonText(error, request);
  return response;
}

std::string ToSseEvent(const TypedError& error, const core::RequestId& request) {
  return "event: error\ndata: " + ToJsonText(error, request) + "\n\n";
}

}  // namespace cornelrelay::entry
