#pragma once

#include <optional>

#include "cornelrelay/core/ids.h"
#include "cornelrelay/core/time.h"
#include "cornelrelay/net/http_message.h"

namespace cornelrelay::relay {

/// \brief Head of an upstream's answer after it has been understood.
struct UpstreamResponseHead {
  net::HttpResponseHead forwarded_head;       ///< what the caller receives
  std::optional<core::RequestId> request_id;  ///< request that the answer says it belongs to
  bool not_executed = false;   ///< the upstream has not run the request and never will
  bool misdirected = false;    ///< another upstream than the expected one has the address
  bool has_signature = false;  ///< a success without one is not the upstream's answer
  bool event_stream = false;
  std::optional<core::UpstreamId> blocked_by;  ///< upstream because of which this one refused
  std::optional<core::Duration> retry_after;

  friend bool operator==(const UpstreamResponseHead&, const UpstreamResponseHead&) = default;
};

}  // namespace cornelrelay::relay
