#pragma once

#include <string>

#include "cornelrelay/core/error.h"

namespace cornelrelay::core {

/// \brief A text is not of the form `address:port`.
class InvalidEndpoint : public Error {
 public:
  explicit InvalidEndpoint(const std::string& text);
};

}  // namespace cornelrelay::core
