#pragma once

#include <string>

namespace cornelrelay::net {

/// \brief Paths of the PEM files that a TLS server uses.
struct TlsFiles {
  std::string certificate_chain;
  std::string private_key;

  friend bool operator==(const TlsFiles&, const TlsFiles&) = default;
};

}  // namespace cornelrelay::net
