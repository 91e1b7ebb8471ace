#include "cornelrelay/claims/id128.h"

#include <array>
#include <cstddef>

#include "cornelrelay/core/hash.h"

namespace cornelrelay::claims::internal {

std::string HexOf(std::uint64_t high, std::uint64_t low) {
  constexpr std::string_view kDigits = "0123456789abcdef";
  std::string text;
  text.reserve(32);
  for (const std::uint64_t word : {high, low}) {
    for (int shift = 60; shift >= 0; shift -= 4) text += kDigits[(word >> shift) & 0xf];
  }
  return text;
}

std::uint64_t HashParts(std::initializer_list<std::string_view> parts, std::uint64_t seed) {
  std::uint64_t hash = seed;
  for (const std::string_view part : parts) {
    hash = core::Hash64(part, core::Hash64(std::to_string(part.size()), hash));
  }
  return hash;
}

}  // namespace cornelrelay::claims::internal
