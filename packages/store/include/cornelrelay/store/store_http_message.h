#pragma once

#include <compare>
#include <string>

namespace cornelrelay::store {

/// \brief A call of the store's HTTP interface.
struct StoreHttpRequest {
  std::string path;
  std::string body;
  std::string method = "POST";

  friend auto operator<=>(const StoreHttpRequest&, const StoreHttpRequest&) = default;
};

/// \brief An answer of the store.
struct StoreHttpResponse {
  int status = 200;
  std::string body;

  friend auto operator<=>(const StoreHttpResponse&, const StoreHttpResponse&) = default;
};

}  // namespace cornelrelay::store
