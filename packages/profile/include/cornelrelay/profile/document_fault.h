#pragma once

#include <compare>
#include <cstdint>
#include <string>

namespace cornelrelay::profile {

/// \brief One fault of a document; line and column count from 1.
struct DocumentFault {
  std::uint32_t line = 1;
  std::uint32_t column = 1;
  std::string message;

  friend auto operator<=>(const DocumentFault&, const DocumentFault&) = default;
};

}  // namespace cornelrelay::profile
