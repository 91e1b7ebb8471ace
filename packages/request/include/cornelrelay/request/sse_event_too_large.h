#pragma once

#include <cstddef>

#include "cornelrelay/core/error.h"

namespace cornelrelay::request {

/// \brief A server-sent event exceeds the configured limit.
class SseEventTooLarge : public core::Error {
 public:
  /// \param limit in bytes
  explicit SseEventTooLarge(std::size_t limit);
};

}  // namespace cornelrelay::request
