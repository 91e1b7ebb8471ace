#pragma once

#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace cornelrelay::net {

/// \brief Orders header names without regard to ASCII case.
struct HeaderNameLess {
  using is_transparent = void;
  bool operator()(std::string_view a, std::string_view b) const;
};

/// \brief HTTP header fields; the values of a repeated field are joined with commas.
using HttpHeaders = std::map<std::string, std::string, HeaderNameLess>;

std::optional<std::string> FindHeader(const HttpHeaders& headers, std::string_view name);

}  // namespace cornelrelay::net
