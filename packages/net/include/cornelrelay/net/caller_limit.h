#pragma once

#include <functional>
#include <string_view>

#include "cornelrelay/net/http_message.h"

namespace cornelrelay::net {

/// \brief The limit that ended a request or connection of a caller.
enum class CallerLimit {
  kHeadTooLarge,
  kHeadFields,
  kHeadTimeout,
  kHeadMemory,
  kBodyTooLarge,
  kBodyTimeout,
  kBodyRate,
  kBodyMemory,   ///< refused, because memory for bodies is used up
  kBodyStalled,  ///< ended in favour of another request, because its bytes paused
  kChunkOverhead,
  kConnections,  ///< refused, because all connections are in use
  kConnectionsPerAddress,
  kIdleReplaced,     ///< idle connection closed in favour of a new one
  kStalledReplaced,  ///< unfinished request closed in favour of a new connection
};

/// \brief Name in metrics and log lines.
std::string_view ToString(CallerLimit limit);

/// \brief What an HttpServer asks its owner, and tells it. Empty functions are not called.
struct CallerHooks {
  /// Whether a request with this method, target and head, and no body yet, belongs to an account.
  /// Without it every request does.
  std::function<bool(const HttpRequest&)> has_account;
  std::function<void(CallerLimit)> on_limit;
};

}  // namespace cornelrelay::net
