#pragma once

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/basic_parser.hpp>
#include <boost/beast/http/error.hpp>
#include <cstddef>
#include <string_view>

namespace cornelrelay::net::internal {

/// \brief Whether `bytes` are the last chunk of a body and an incomplete end of its trailers.
inline bool IsPartOfEmptyBodyEnd(std::string_view bytes) {
  constexpr std::string_view kLastChunk = "0\r\n";
  constexpr std::string_view kShortestEnd = "0\r\n\r\n";
  return bytes.size() < kShortestEnd.size() && bytes.starts_with(kLastChunk);
}

/// \brief Passes the buffered bytes of a body to its parser and consumes those that it has used.
///
/// Boost.Beast 1.81 asserts that a parser that has seen the last chunk is called with five bytes or
/// more (basic_parser::parse_chunk_header). That holds behind a chunk, whose line end counts, but
/// not if the body is empty and its end, `0 CR LF CR LF`, comes in pieces. Such pieces wait in the
/// buffer until five bytes are there.
/// \param used bytes of this body that the parser has used in earlier calls
/// \returns the number of bytes consumed; `ec` is need_more if the parser needs more than it holds
template <bool kIsRequest>
std::size_t PutBody(boost::beast::http::basic_parser<kIsRequest>& parser,
                    boost::beast::flat_buffer& buffer, std::size_t used,
                    boost::system::error_code& ec) {
  const auto data = buffer.data();
  const std::string_view bytes(static_cast<const char*>(data.data()), data.size());
  // Behind the first chunk the same bytes may be payload.
  const bool waits = parser.chunked() && used == 0 && IsPartOfEmptyBodyEnd(bytes);
  if (bytes.empty() || waits) {
    ec = boost::beast::http::error::need_more;
    return 0;
  }
  const std::size_t count = parser.put(data, ec);
  buffer.consume(count);
  return count;
}

}  // namespace cornelrelay::net::internal
