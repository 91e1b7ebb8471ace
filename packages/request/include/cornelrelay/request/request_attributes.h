#pragma once

#include <string>

#include "cornelrelay/core/ids.h"

namespace cornelrelay::request {

/// \brief Properties of one request that are known on its arrival.
struct RequestAttributes {
  core::RequestId id;
  /// Prefix of the attempt ids. It is unique across all entry processes and their restarts. The
  /// request id is not, because callers choose it and two callers can choose the same one.
  std::string attempt_prefix;
  bool has_key = false;    ///< the request has an `Idempotency-Key`
  bool resumable = false;  ///< the answer is a stream whose upstream supports `Last-Event-ID`

  friend bool operator==(const RequestAttributes&, const RequestAttributes&) = default;
};

}  // namespace cornelrelay::request
