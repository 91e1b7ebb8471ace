#pragma once

namespace cornelrelay::settings {

enum class LogLevel { kTrace, kDebug, kInfo, kWarning, kError };

}  // namespace cornelrelay::settings
