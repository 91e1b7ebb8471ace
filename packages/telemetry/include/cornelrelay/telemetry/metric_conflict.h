#pragma once

#include <string>

#include "cornelrelay/core/error.h"

namespace cornelrelay::telemetry {

/// \brief A metric name is used with two types.
class MetricConflict : public core::Error {
 public:
  explicit MetricConflict(const std::string& name);
};

}  // namespace cornelrelay::telemetry
