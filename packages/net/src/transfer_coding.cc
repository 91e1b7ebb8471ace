#include "transfer_coding.h"

#include <boost/beast/core/string.hpp>

#include "bad_input.h"

namespace cornelrelay::net::internal {

namespace http = boost::beast::http;

bool HasKnownTransferCoding(const http::request_header<>& head) {
  const auto [first, last] = head.equal_range(http::field::transfer_encoding);
  if (first == last) return true;
  const bool single = std::next(first) == last;
  const bool has_length = head.find(http::field::content_length) != head.end();
  return single && !has_length && head.version() == 11 &&
         boost::beast::iequals(first->value(), "chunked");
}

HttpResponse UnknownTransferCoding() {
  return TypedError(501, "unknown_transfer_coding", "the transfer coding is not supported");
}

}  // namespace cornelrelay::net::internal
