#pragma once

#include <string>

#include "cornelrelay/core/error.h"

namespace cornelrelay::claims {

/// \brief The key is older than the retention; whether its request ran is no longer known.
class KeyExpired : public core::Error {
 public:
  explicit KeyExpired(const std::string& text);
};

}  // namespace cornelrelay::claims
