#pragma once

#include <optional>
#include <string_view>

#include "cornelrelay/store/store_http_message.h"
#include "cornelrelay/store/store_reply.h"
#include "cornelrelay/store/store_request.h"

namespace cornelrelay::store {

/// \brief Translates store calls to the HTTP interface of one kind of store, and its answers back.
class StoreCodec {
 public:
  virtual ~StoreCodec() = default;

  /// \throws UnsupportedStoreRequest
  virtual StoreHttpRequest ToHttp(const StoreRequest& request) const = 0;

  /// \brief Name of the response header with the store's era; empty if the store names none.
  virtual std::string_view EraHeader() const { return {}; }

  /// \brief Leaves the era of the reply 0, see SetEra(). Never throws: an answer that cannot be
  /// understood leaves the outcome unknown.
  virtual StoreReply FromHttp(const StoreRequest& request, int status,
                              std::string_view body) const = 0;

  /// \brief Reads one line of a streamed answer to Watch; empty for lines without an event.
  virtual std::optional<StoreReply> FromWatchLine(const Watch& watch,
                                                  std::string_view line) const = 0;
};

}  // namespace cornelrelay::store
