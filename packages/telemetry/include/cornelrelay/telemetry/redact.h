#pragma once

#include <string>
#include <string_view>

namespace cornelrelay::telemetry {

/// \brief Replaces the token after each `Bearer ` (in any case) by `[redacted]`.
std::string RedactSecrets(std::string_view text);

/// \brief True for field names whose values are never written, e.g. `authorization`, `api_key`.
bool IsSecretField(std::string_view key);

}  // namespace cornelrelay::telemetry
