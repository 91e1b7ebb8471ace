#pragma once

#include <cstddef>

#include "cornelrelay/core/error.h"

namespace cornelrelay::request {

/// \brief An event of a server-sent stream is larger than the configured bound.
class SseEventTooLarge : public core::Error {
 public:
  explicit SseEventTooLarge(std::size_t limit);
};

}  // namespace cornelrelay::request
