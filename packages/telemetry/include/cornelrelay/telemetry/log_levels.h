#pragma once

#include <optional>
#include <string_view>

#include "cornelrelay/settings/log_level.h"

namespace cornelrelay::telemetry {

using settings::LogLevel;

std::string_view ToString(LogLevel level);

/// \brief Parses `trace`, `debug`, `info`, `warning` or `error`.
std::optional<LogLevel> ParseLogLevel(std::string_view name);

}  // namespace cornelrelay::telemetry
