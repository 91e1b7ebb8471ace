#pragma once

#include "cornelrelay/core/error.h"

namespace cornelrelay::wire {

/// \brief The code was not made with the shared key, or the bytes were changed.
class ForgedDatagram : public core::Error {
 public:
  ForgedDatagram();
};

}  // namespace cornelrelay::wire
