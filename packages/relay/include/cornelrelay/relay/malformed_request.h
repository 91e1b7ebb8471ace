#pragma once

#include <string>

#include "cornelrelay/core/error.h"

namespace cornelrelay::relay {

/// \brief A caller's request lacks what the protocol demands.
class MalformedRequest : public core::Error {
 public:
  explicit MalformedRequest(const std::string& reason) : Error("malformed_request", reason) {}
};

}  // namespace cornelrelay::relay
