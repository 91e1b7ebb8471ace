#pragma once

#include <string>

#include "cornelrelay/core/error.h"

namespace cornelrelay::balance {

/// \brief An expert has no rank, or a rank is outside of the group.
class InvalidExpertMap : public core::Error {
 public:
  explicit InvalidExpertMap(const std::string& reason);
};

}  // namespace cornelrelay::balance
