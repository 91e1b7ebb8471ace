#pragma once

#include <string>

#include "cornelrelay/core/ids.h"

namespace cornelrelay::request {

/// \brief What is known about one request when it arrives.
struct RequestAttributes {
  core::RequestId id;
  /// Prefix of the attempt ids, unique over all entry processes and their restarts. The request id
  /// does not suffice, because callers choose it and two of them can choose the same.
  std::string attempt_prefix;
  bool has_key = false;
  bool resumable = false;  ///< a model stream, whose upstream understands `Last-Event-ID`

  friend bool operator==(const RequestAttributes&, const RequestAttributes&) = default;
};

}  // namespace cornelrelay::request
