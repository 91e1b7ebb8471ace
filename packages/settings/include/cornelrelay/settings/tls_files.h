#pragma once

#include <string>

namespace cornelrelay::settings {

/// \brief PEM files for TLS towards callers.
struct TlsFiles {
  std::string certificate;
  std::string key;

  friend bool operator==(const TlsFiles&, const TlsFiles&) = default;
};

}  // namespace cornelrelay::settings
