#pragma once

#include <cstddef>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace cornelrelay::net {

/// \brief All ways to divide a short text into pieces that are not empty.
inline std::vector<std::vector<std::string>> AllDivisions(std::string_view text) {
  if (text.empty()) return {{}};
  std::vector<std::vector<std::string>> divisions;
  for (std::size_t first = 1; first <= text.size(); ++first) {
    for (auto& rest : AllDivisions(text.substr(first))) {
      rest.insert(rest.begin(), std::string(text.substr(0, first)));
      divisions.push_back(std::move(rest));
    }
  }
  return divisions;
}

}  // namespace cornelrelay::net
