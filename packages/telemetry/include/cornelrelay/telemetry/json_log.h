#pragma once

#include <spdlog/sinks/sink.h>

#include <initializer_list>
#include <memory>
#include <string>
#include <string_view>

#include "cornelrelay/telemetry/log_field.h"
#include "cornelrelay/telemetry/log_levels.h"

namespace spdlog {
class logger;
}

namespace cornelrelay::telemetry {

/// \brief Writes one JSON object a line. Thread-safe if the sink is.
///
/// \code
/// JsonLog log("entry-1", LogLevel::kInfo, std::make_shared<spdlog::sinks::stderr_sink_mt>());
/// log.Info("request_finished", {{"request", id}, {"elapsed_us", elapsed}, {"attempts", 2}});
/// \endcode
class JsonLog {
 public:
  using Fields = std::initializer_list<LogField>;

  JsonLog(std::string host, LogLevel level, std::shared_ptr<spdlog::sinks::sink> sink);

  /// \param event name in snake_case, the constant part of the line
  void LogEvent(LogLevel level, std::string_view event, Fields fields = {});

  void Debug(std::string_view event, Fields fields = {}) {
    LogEvent(LogLevel::kDebug, event, fields);
  }
  void Info(std::string_view event, Fields fields = {}) {
    LogEvent(LogLevel::kInfo, event, fields);
  }
  void Warning(std::string_view event, Fields fields = {}) {
    LogEvent(LogLevel::kWarning, event, fields);
  }
  void Error(std::string_view event, Fields fields = {}) {
    LogEvent(LogLevel::kError, event, fields);
  }

  void SetLevel(LogLevel level);
  LogLevel level() const;
  bool Enabled(LogLevel level) const;
  void Flush();

  /// \brief For libraries that log text with spdlog; the text becomes the field `message`.
  const std::shared_ptr<spdlog::logger>& logger() const { return m_logger; }

 private:
  std::shared_ptr<spdlog::logger> m_logger;
};

}  // namespace cornelrelay::telemetry
