#pragma once

#include <string>

#include "cornelrelay/core/error.h"

namespace cornelrelay::claims {

/// \brief The time in the key is ahead of the local clock by more than the allowed skew.
class KeyFromFuture : public core::Error {
 public:
  explicit KeyFromFuture(const std::string& text);
};

}  // namespace cornelrelay::claims
