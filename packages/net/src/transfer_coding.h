#pragma once

#include <boost/beast/http/fields.hpp>
#include <boost/beast/http/message.hpp>

#include "cornelrelay/net/http_message.h"

namespace cornelrelay::net::internal {

/// \brief Whether the request has no transfer coding or `chunked` alone.
///
/// The length of a body in any other coding is unknown, so the bytes after the head could be taken
/// for another request.
bool HasKnownTransferCoding(const boost::beast::http::request_header<>& head);

/// \brief Whether the response has no transfer coding or `chunked` alone.
///
/// A body in any other coding cannot be passed on, as the name of its coding ends with this
/// connection, and its end is not known.
bool HasKnownTransferCoding(const boost::beast::http::response_header<>& head);

/// \brief Refuses a request whose body length cannot be told.
HttpResponse UnknownTransferCoding();

}  // namespace cornelrelay::net::internal
