#pragma once

#include <optional>

#include "cornelrelay/core/ids.h"
#include "cornelrelay/core/time.h"
#include "cornelrelay/net/http_message.h"

namespace cornelrelay::relay {

/// \brief Decoded head of an upstream's response.
struct UpstreamResponseHead {
  net::HttpResponseHead forwarded_head;       ///< head that is forwarded to the caller
  std::optional<core::RequestId> request_id;  ///< id of the request that the response belongs to
  bool not_executed = false;   ///< true if the upstream has not executed the request and never will
  bool misdirected = false;    ///< true if the address belongs to another upstream
  bool has_signature = false;  ///< if false, a successful response is not genuine
  bool event_stream = false;   ///< true if the body is a stream of server-sent events
  std::optional<core::UpstreamId> blocked_by;  ///< unavailable upstream that made this one refuse
  bool leaving = false;  ///< true if the upstream ends soon and wants no new requests
  std::optional<core::Duration> retry_after;
  /// Time for which a refusal asks for no more requests from this process.
  std::optional<core::Duration> backoff;
  /// Requests a second that the upstream takes from all entry processes together, for as long as
  /// its answers say so.
  std::optional<double> rate_limit;

  friend bool operator==(const UpstreamResponseHead&, const UpstreamResponseHead&) = default;
};

}  // namespace cornelrelay::relay
