#pragma once

#include <cstddef>

namespace cornelrelay::settings {

/// \brief Bounds in bytes on what is read from callers and upstreams.
struct SizeLimits {
  std::size_t head = 16'384;
  std::size_t body = 1'048'576;
  std::size_t event = 65'536;  ///< one server-sent event

  friend bool operator==(const SizeLimits&, const SizeLimits&) = default;
};

}  // namespace cornelrelay::settings
