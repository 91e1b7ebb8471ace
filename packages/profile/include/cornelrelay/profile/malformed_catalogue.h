#pragma once

#include <string>

#include "cornelrelay/core/error.h"

namespace cornelrelay::profile {

/// \brief Bytes or parts that are no catalogue.
class MalformedCatalogue : public core::Error {
 public:
  explicit MalformedCatalogue(const std::string& reason);
};

}  // namespace cornelrelay::profile
