#pragma once

#include <string_view>

namespace cornelrelay::net {

/// \brief Why an exchange ended before its response was complete.
enum class BreakCause {
  kConnection,    ///< closed or reset by the peer, or an error of the network
  kTimeout,       ///< no byte in time, or no complete response in time
  kMalformed,     ///< the bytes are no HTTP response
  kHeadTooLarge,  ///< the head, or the line of a chunk or trailer, exceeds its limit
  kTooManyHeads,  ///< interim responses or responses to other requests without end
  kBodyTooLarge,  ///< the body, or one event of a stream, exceeds its limit
  kNoProgress,    ///< bytes without end that do not advance the response
  kUnexpected,    ///< a response that the peer may not give
};

std::string_view ToString(BreakCause cause);

}  // namespace cornelrelay::net
