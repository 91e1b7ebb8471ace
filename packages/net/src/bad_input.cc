#include "bad_input.h"

#include <boost/beast/http/error.hpp>
#include <string>

namespace cornelrelay::net::internal {

namespace http = boost::beast::http;

HttpResponse TypedError(int status, const std::string& type, const std::string& message) {
  HttpResponse response;
  response.status = status;
  response.headers["Content-Type"] = "application/json";
  response.body = R"({"error":{"type":")" + type + R"(","message":")" + message +
                  R"(","execution":"not_run"}})";
  return response;
}

std::optional<HttpResponse> BadInputResponse(const boost::system::error_code& reason) {
  if (reason == http::error::header_limit) {
    return TypedError(431, "head_too_large", "the request head exceeds its limit");
  }
  if (reason == http::error::body_limit) {
    return TypedError(413, "body_too_large", "the request body exceeds its limit");
  }
  const bool parse_error =
      reason.category() == http::make_error_code(http::error::bad_method).category();
  if (!parse_error || reason == http::error::end_of_stream ||
      reason == http::error::partial_message) {
    return std::nullopt;
  }
  return TypedError(400, "malformed_request", reason.message());
}

}  // namespace cornelrelay::net::internal
