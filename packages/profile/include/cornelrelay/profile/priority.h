#pragma once

#include <optional>
#include <string_view>

namespace cornelrelay::profile {

/// \brief Order of service between waiting requests.
enum class Priority { kLow, kNormal, kHigh };

/// \brief `low`, `normal` or `high`.
std::string_view ToString(Priority priority);

/// \brief Inverse of ToString; empty for any other text.
std::optional<Priority> ParsePriority(std::string_view text);

}  // namespace cornelrelay::profile
