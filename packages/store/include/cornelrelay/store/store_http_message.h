#pragma once

#include <compare>
#include <string>

namespace cornelrelay::platform {

/// \brief A call of the store's JSON gateway; the method is always POST.
struct StoreHttpRequest {
  std::string path;
  std::string body;

  friend auto operator<=>(const StoreHttpRequest&, const StoreHttpRequest&) = default;
};

/// \brief An answer of the JSON gateway.
struct StoreHttpResponse {
  int status = 200;
  std::string body;

  friend auto operator<=>(const StoreHttpResponse&, const StoreHttpResponse&) = default;
};

}  // namespace cornelrelay::platform
