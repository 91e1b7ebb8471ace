#pragma once

#include <string>

#include "cornelrelay/core/error.h"

namespace cornelrelay::store {

/// \brief A message of the store's JSON gateway cannot be understood.
class MalformedStoreMessage : public core::Error {
 public:
  explicit MalformedStoreMessage(const std::string& reason);
};

}  // namespace cornelrelay::store
