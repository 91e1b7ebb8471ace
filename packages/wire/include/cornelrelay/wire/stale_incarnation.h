#pragma once

#include "cornelrelay/core/error.h"

namespace cornelrelay::wire {

/// \brief The sender has since been restarted.
class StaleIncarnation : public core::Error {
 public:
  StaleIncarnation();
};

}  // namespace cornelrelay::wire
