#pragma once

#include <compare>
#include <cstdint>
#include <ostream>
#include <string>

namespace cornelrelay::core {

/// \brief An IP address in text form and a port.
struct Endpoint {
  std::string address;
  std::uint16_t port = 0;

  friend auto operator<=>(const Endpoint&, const Endpoint&) = default;
  friend bool operator==(const Endpoint&, const Endpoint&) = default;
  friend std::ostream& operator<<(std::ostream& out, const Endpoint& e) {
    return out << e.address << ':' << e.port;
  }
};

/// \brief Parses `address:port`; throws InvalidEndpoint.
Endpoint ParseEndpoint(const std::string& text);

std::string ToString(const Endpoint& endpoint);

}  // namespace cornelrelay::core
