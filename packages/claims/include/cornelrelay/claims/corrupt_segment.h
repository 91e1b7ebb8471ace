#pragma once

#include <string>

#include "cornelrelay/core/error.h"

namespace cornelrelay::claims {

/// \brief A stored segment cannot be decoded or contradicts its header.
class CorruptSegment : public core::Error {
 public:
  explicit CorruptSegment(const std::string& reason);
};

}  // namespace cornelrelay::claims
