#pragma once

#include <string>

#include "cornelrelay/core/error.h"

namespace cornelrelay::claims {

/// \brief The text is not a UUID of version 7.
class InvalidIdempotencyKey : public core::Error {
 public:
  explicit InvalidIdempotencyKey(const std::string& text);
};

}  // namespace cornelrelay::claims
