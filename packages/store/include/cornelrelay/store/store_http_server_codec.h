#pragma once

#include <string>

#include "cornelrelay/store/store_http_message.h"
#include "cornelrelay/store/store_reply.h"
#include "cornelrelay/store/store_request.h"

namespace cornelrelay::store {

/// \brief Server side of the etcd v3 JSON gateway, for the stand-in of the store.
///
/// \code
/// const StoreRequest request = codec.FromHttp({path, body});
/// const StoreHttpResponse response = codec.ToHttp(request, reply, store.Revision());
/// \endcode
class StoreHttpServerCodec {
 public:
  /// \brief Throws MalformedStoreMessage, which the stand-in answers with status 400.
  StoreRequest FromHttp(const StoreHttpRequest& request) const;

  /// \brief The whole answer; for a watch, the line of its event without WatchCreatedLine().
  StoreHttpResponse ToHttp(const StoreRequest& request, const StoreReply& reply,
                           StoreRevision store_revision) const;

  /// \brief First line of a watch stream, sent before any event.
  std::string WatchCreatedLine(StoreRevision store_revision) const;
};

}  // namespace cornelrelay::store
