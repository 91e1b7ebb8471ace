#include "hex.h"

#include <charconv>

namespace cornelrelay::settings::internal {

std::optional<std::vector<std::uint8_t>> ParseHex(std::string_view text) {
  if (text.size() % 2 != 0) return std::nullopt;
  std::vector<std::uint8_t> bytes;
  bytes.reserve(text.size() / 2);
  for (std::size_t i = 0; i < text.size(); i += 2) {
    std::uint8_t byte = 0;
    const char* end = text.data() + i + 2;
    const auto [rest, status] = std::from_chars(text.data() + i, end, byte, 16);
    if (status != std::errc() || rest != end) return std::nullopt;
    bytes.push_back(byte);
  }
  return bytes;
}

}  // namespace cornelrelay::settings::internal
