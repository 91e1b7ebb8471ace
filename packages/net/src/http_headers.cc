#include "cornelrelay/net/http_headers.h"

#include <algorithm>

namespace cornelrelay::net {
namespace {

char Lower(char c) { return c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c; }

}  // namespace

bool HeaderNameLess::operator()(std::string_view a, std::string_view b) const {
  return std::lexicographical_compare(a.begin(), a.end(), b.begin(), b.end(),
                                      [](char x, char y) { return Lower(x) < Lower(y); });
}

std::optional<std::string> FindHeader(const HttpHeaders& headers, std::string_view name) {
  const auto it = headers.find(name);
  if (it == headers.end()) return std::nullopt;
  return it->second;
}

}  // namespace cornelrelay::net
