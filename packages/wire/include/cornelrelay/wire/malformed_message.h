#pragma once

#include "cornelrelay/core/error.h"

namespace cornelrelay::wire {

/// \brief The bytes are no message: truncated, trailing bytes, or a value out of range.
class MalformedMessage : public core::Error {
 public:
  MalformedMessage();
};

}  // namespace cornelrelay::wire
