#pragma once

#include "cornelrelay/core/error.h"

namespace cornelrelay::wire {

/// \brief The shared key is too short to protect messages.
class WeakKey : public core::Error {
 public:
  WeakKey();
};

}  // namespace cornelrelay::wire
