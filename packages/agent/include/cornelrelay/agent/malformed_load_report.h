#pragma once

#include <string>

#include "cornelrelay/core/error.h"

namespace cornelrelay::agent {

/// \brief An upstream's load report is not the expected JSON.
class MalformedLoadReport : public core::Error {
 public:
  explicit MalformedLoadReport(const std::string& reason)
      : Error("malformed_load_report", "malformed load report: " + reason) {}
};

}  // namespace cornelrelay::agent
