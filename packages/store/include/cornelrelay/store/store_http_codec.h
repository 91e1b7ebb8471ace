#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "cornelrelay/store/store_codec.h"

namespace cornelrelay::store {

/// \brief Client side of the etcd v3 JSON gateway: requests to HTTP, HTTP to replies.
///
/// A compare-and-swap is a transaction that compares the mod revision of the key and reads the key
/// when the comparison fails, so that a conflict carries the current value.
///
/// \code
/// const StoreHttpCodec codec;
/// const StoreHttpRequest call = codec.ToHttp(Get{"cornelrelay/catalogue"});
/// const StoreReply reply = codec.FromHttp(request, status, answer_body);
/// \endcode
class StoreHttpCodec : public StoreCodec {
 public:
  StoreHttpRequest ToHttp(const StoreRequest& request) const override;

  /// An error status is Unavailable for requests that change nothing. For writes, only a status
  /// that refuses the request as such is; others, like 503, are TimedOut, because a gateway may
  /// give up on a write that its cluster still carries out.
  StoreReply FromHttp(const StoreRequest& request, int status,
                      std::string_view body) const override;

  std::optional<StoreReply> FromWatchLine(const Watch& watch, std::string_view line) const override;
};

}  // namespace cornelrelay::store
