#include "transfer_coding.h"

#include <boost/beast/core/string.hpp>
#include <iterator>

#include "bad_input.h"

namespace cornelrelay::net::internal {

namespace http = boost::beast::http;

namespace {

bool IsChunkedAlone(const http::fields& fields) {
  const auto [first, last] = fields.equal_range(http::field::transfer_encoding);
  return first != last && std::next(first) == last &&
         boost::beast::iequals(first->value(), "chunked");
}

bool HasTransferCoding(const http::fields& fields) {
  return fields.find(http::field::transfer_encoding) != fields.end();
}

}  // namespace

bool HasKnownTransferCoding(const http::request_header<>& head) {
  if (!HasTransferCoding(head)) return true;
  const bool has_length = head.find(http::field::content_length) != head.end();
  return IsChunkedAlone(head) && !has_length && head.version() == 11;
}

bool HasKnownTransferCoding(const http::response_header<>& head) {
  return !HasTransferCoding(head) || IsChunkedAlone(head);
}

HttpResponse UnknownTransferCoding() {
  return TypedError(501, "unknown_transfer_coding", "the transfer coding is not supported");
}

}  // namespace cornelrelay::net::internal
