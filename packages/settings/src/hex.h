#pragma once

#include <cstdint>
#include <optional>
#include <string_view>
#include <vector>

namespace cornelrelay::settings::internal {

/// \brief Bytes of an even number of hexadecimal digits; empty optional for any other text.
std::optional<std::vector<std::uint8_t>> ParseHex(std::string_view text);

}  // namespace cornelrelay::settings::internal
