#include "cornelrelay/ranks/leader_entry.h"

#include <charconv>

namespace cornelrelay::ranks {
namespace {

constexpr char kSeparator = '@';

}  // namespace

std::string EncodeLeaderEntry(const LeaderEntry& entry) {
  if (entry.era == 0) return entry.host;
  return entry.host + kSeparator + std::to_string(entry.era);
}

LeaderEntry DecodeLeaderEntry(std::string_view text) {
  const auto separator = text.rfind(kSeparator);
  if (separator == std::string_view::npos) return {std::string(text), 0};
  const std::string_view digits = text.substr(separator + 1);
  store::StoreEra era = 0;
  const auto [rest, status] = std::from_chars(digits.data(), digits.data() + digits.size(), era);
  if (status != std::errc() || rest != digits.data() + digits.size()) return {std::string(text), 0};
  return {std::string(text.substr(0, separator)), era};
}

}  // namespace cornelrelay::ranks
