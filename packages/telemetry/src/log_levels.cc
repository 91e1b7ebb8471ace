#include "cornelrelay/telemetry/log_levels.h"

#include <array>
#include <utility>

namespace cornelrelay::telemetry {

namespace {

constexpr std::array<std::pair<LogLevel, std::string_view>, 5> kNames{{
    {LogLevel::kTrace, "trace"},
    {LogLevel::kDebug, "debug"},
    {LogLevel::kInfo, "info"},
    {LogLevel::kWarning, "warning"},
    {LogLevel::kError, "error"},
}};

}  // namespace

std::string_view ToString(LogLevel level) {
  for (const auto& [value, name] : kNames) {
    if (value == level) return name;
  }
  return "unknown";
}

std::optional<LogLevel> ParseLogLevel(std::string_view name) {
  for (const auto& [value, text] : kNames) {
    if (text == name) return value;
  }
  return std::nullopt;
}

}  // namespace cornelrelay::telemetry
