#include "cornelrelay/core/endpoint.h"

#include <charconv>

#include "cornelrelay/core/invalid_endpoint.h"

namespace cornelrelay::core {

InvalidEndpoint::InvalidEndpoint(const std::string& text)
    : Error("invalid_endpoint", "expected address:port, got \"" + text + "\"") {}

Endpoint ParseEndpoint(const std::string& text) {
  const auto colon = text.rfind(':');
  if (colon == std::string::npos || colon == 0) throw InvalidEndpoint(text);
  std::uint16_t port = 0;
  const char* end = text.data() + text.size();
  const auto [rest, status] = std::from_chars(text.data() + colon + 1, end, port);
  if (status != std::errc() || rest != end || port == 0) throw InvalidEndpoint(text);
  return Endpoint{text.substr(0, colon), port};
}

std::string ToString(const Endpoint& endpoint) {
  return endpoint.address + ':' + std::to_string(endpoint.port);
}

}  // namespace cornelrelay::core
