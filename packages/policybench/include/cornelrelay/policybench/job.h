#pragma once

#include <cstddef>

#include "cornelrelay/core/time.h"

namespace cornelrelay::policybench {

/// \brief One simulated model request.
struct Job {
  std::size_t id = 0;
  std::size_t conversation = 0;
  core::Instant arrival{};
  double prompt = 0;  ///< tokens, with the conversation so far
  double prefix = 0;  ///< tokens of earlier turns
  double output = 0;
};

}  // namespace cornelrelay::policybench
