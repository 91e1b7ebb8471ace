#pragma once

#include <string_view>

namespace cornelrelay::routes {

/// \brief What a request asks for, which decides what may be repeated.
enum class RequestKind {
  kIdempotent,     ///< may run any number of times
  kNonIdempotent,  ///< runs at most once
  kStream,         ///< answered by a sequence of events; repeatable only where it may be resumed
};

std::string_view ToString(RequestKind kind);

}  // namespace cornelrelay::routes
