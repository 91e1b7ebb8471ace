#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "cornelrelay/platform/store_http_message.h"
#include "cornelrelay/platform/store_reply.h"
#include "cornelrelay/platform/store_request.h"

namespace cornelrelay::platform {

/// \brief Client side of the etcd v3 JSON gateway: requests to HTTP, HTTP to replies.
///
/// A compare-and-swap is a transaction that compares the mod revision of the key and reads the key
/// when the comparison fails, so that a conflict carries the current value.
///
/// \code
/// const StoreHttpCodec codec;
/// const auto [path, body] = codec.ToHttp(Get{"cornelrelay/catalogue"});
/// const StoreReply reply = codec.FromHttp(request, status, answer_body);
/// \endcode
class StoreHttpCodec {
 public:
  StoreHttpRequest ToHttp(const StoreRequest& request) const;

  /// \brief Never throws: an answer that cannot be understood leaves the outcome unknown.
  ///
  /// An error status is Unavailable for requests that change nothing. For writes, only a status
  /// that refuses the request as such is; others, like 503, are TimedOut, because a gateway may
  /// give up on a write that its cluster still carries out.
  StoreReply FromHttp(const StoreRequest& request, int status, std::string_view body) const;

  /// \brief Reads one line of a watch stream; empty for lines without an event.
  std::optional<StoreReply> FromWatchLine(const Watch& watch, std::string_view line) const;
};

}  // namespace cornelrelay::platform
