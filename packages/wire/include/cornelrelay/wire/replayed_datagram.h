#pragma once

#include "cornelrelay/core/error.h"

namespace cornelrelay::wire {

/// \brief The counter was seen before, or is older than the window.
class ReplayedDatagram : public core::Error {
 public:
  ReplayedDatagram();
};

}  // namespace cornelrelay::wire
