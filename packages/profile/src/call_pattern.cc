#include "cornelrelay/profile/call_pattern.h"

#include <algorithm>

namespace cornelrelay::profile {

bool CallPattern::Matches(std::string_view call_method, std::string_view path) const {
  return (method == "*" || method == call_method) && path.starts_with(path_prefix);
}

std::optional<CallPattern> ParseCallPattern(std::string_view text) {
  const auto space = text.find(' ');
  if (space == 0 || space == std::string_view::npos) return std::nullopt;
  const std::string_view method = text.substr(0, space);
  const std::string_view path = text.substr(space + 1);
  const auto upper = [](char c) { return c >= 'A' && c <= 'Z'; };
  const auto visible = [](char c) { return c > ' ' && c < 0x7f; };
  if (method != "*" && !std::all_of(method.begin(), method.end(), upper)) return std::nullopt;
  if (!path.starts_with('/') || !std::all_of(path.begin(), path.end(), visible)) {
    return std::nullopt;
  }
  return CallPattern{std::string(method), std::string(path)};
}

std::string ToString(const CallPattern& pattern) {
  return pattern.method + " " + pattern.path_prefix;
}

}  // namespace cornelrelay::profile
