#pragma once

#include <string_view>

namespace cornelrelay::routes {

/// \brief Kind of a request. It decides whether the request may be repeated.
enum class RequestKind {
  kIdempotent,     ///< may run any number of times
  kNonIdempotent,  ///< runs at most once
  kStream,  ///< answered with a sequence of events; repeatable only if its route is resumable
};

std::string_view ToString(RequestKind kind);

}  // namespace cornelrelay::routes
