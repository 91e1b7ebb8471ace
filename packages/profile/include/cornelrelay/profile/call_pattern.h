#pragma once

#include <compare>
#include <optional>
#include <string>
#include <string_view>

namespace cornelrelay::profile {

/// \brief A method, or `*` for any, and a path prefix.
///
/// \code
/// const auto pattern = ParseCallPattern("GET /stock/");
/// pattern->Matches("GET", "/stock/17");  // true
/// \endcode
struct CallPattern {
  std::string method;
  std::string path_prefix;

  bool Matches(std::string_view call_method, std::string_view path) const;

  friend auto operator<=>(const CallPattern&, const CallPattern&) = default;
};

/// \brief `METHOD /path`; empty for any other text.
std::optional<CallPattern> ParseCallPattern(std::string_view text);

std::string ToString(const CallPattern& pattern);

}  // namespace cornelrelay::profile
