#pragma once

#include "cornelrelay/core/error.h"

namespace cornelrelay::wire {

/// \brief A message or one of its fields exceeds its bound.
class MessageTooLarge : public core::Error {
 public:
  MessageTooLarge();
};

}  // namespace cornelrelay::wire
