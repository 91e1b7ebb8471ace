#pragma once

#include <string>

#include "cornelrelay/core/error.h"

namespace cornelrelay::balance {

/// \brief The stored plan of a group cannot be decoded.
class CorruptPlan : public core::Error {
 public:
  explicit CorruptPlan(const std::string& reason);
};

}  // namespace cornelrelay::balance
