#pragma once

#include <optional>

#include "cornelrelay/core/ids.h"
#include "cornelrelay/core/time.h"
#include "cornelrelay/net/http_message.h"

namespace cornelrelay::relay {

/// \brief Head of an upstream's answer after it has been understood.
struct AnswerHead {
  net::HttpResponseHead forwarded;      ///< what the caller receives
  std::optional<core::RequestId> echo;  ///< request that the answer says it belongs to
  bool not_run = false;                 ///< the upstream has not run the request and never will
  bool misdirected = false;             ///< another upstream than the expected one has the address
  bool has_signature = false;           ///< a success without one is not the upstream's answer
  bool event_stream = false;
  std::optional<core::UpstreamId> culprit;  ///< upstream because of which this one refused
  std::optional<core::Duration> retry_after;

  friend bool operator==(const AnswerHead&, const AnswerHead&) = default;
};

}  // namespace cornelrelay::relay
