#pragma once

#include <string>

#include "cornelrelay/core/error.h"

namespace cornelrelay::relay {

/// \brief Thrown for a caller's request in which a required part is missing or invalid.
class MalformedRequest : public core::Error {
 public:
  explicit MalformedRequest(const std::string& reason) : Error("malformed_request", reason) {}
};

}  // namespace cornelrelay::relay
