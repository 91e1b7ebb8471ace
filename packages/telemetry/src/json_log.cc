#include "cornelrelay/telemetry/json_log.h"

#include <spdlog/logger.h>

#include <array>
#include <nlohmann/json.hpp>
#include <utility>

#include "cornelrelay/core/overloaded.h"
#include "cornelrelay/telemetry/redact.h"
#include "json_formatter.h"

namespace cornelrelay::telemetry {

namespace {

constexpr std::array<std::pair<LogLevel, spdlog::level::level_enum>, 5> kLevels{{
    {LogLevel::kTrace, spdlog::level::trace},
    {LogLevel::kDebug, spdlog::level::debug},
    {LogLevel::kInfo, spdlog::level::info},
    {LogLevel::kWarning, spdlog::level::warn},
    {LogLevel::kError, spdlog::level::err},
}};

spdlog::level::level_enum ToSpdlog(LogLevel level) {
  for (const auto& [own, theirs] : kLevels) {
    if (own == level) return theirs;
  }
  return spdlog::level::info;
}

void AppendField(std::string& out, const LogField& field) {
  internal::AppendJsonString(out, field.key());
  out += ':';
  if (IsSecretField(field.key())) {
    out += "\"[redacted]\"";
    return;
  }
  std::visit(
      core::Overloaded{
          [&](std::string_view text) { internal::AppendJsonString(out, RedactSecrets(text)); },
          // JSON has no infinities; the library writes null for them.
          [&](auto value) { out += nlohmann::json(value).dump(); },
      },
      field.value());
}

}  // namespace

JsonLog::JsonLog(std::string host, LogLevel level, std::shared_ptr<spdlog::sinks::sink> sink)
    : m_logger(std::make_shared<spdlog::logger>(host, std::move(sink))) {
  m_logger->set_formatter(std::make_unique<internal::JsonFormatter>(std::move(host)));
  m_logger->flush_on(spdlog::level::warn);
  SetLevel(level);
}

void JsonLog::LogEvent(LogLevel level, std::string_view event, Fields fields) {
  if (!Enabled(level)) return;
  std::string members = "\"event\":";
  internal::AppendJsonString(members, event);
  for (const LogField& field : fields) {
    members += ',';
    AppendField(members, field);
  }
  const spdlog::source_loc marker{"", 0, internal::kRenderedMembers};
  m_logger->log(marker, ToSpdlog(level), spdlog::string_view_t(members));
}

void JsonLog::SetLevel(LogLevel level) { m_logger->set_level(ToSpdlog(level)); }

LogLevel JsonLog::level() const {
  for (const auto& [own, theirs] : kLevels) {
    if (theirs == m_logger->level()) return own;
  }
  return LogLevel::kError;
}

bool JsonLog::Enabled(LogLevel level) const { return m_logger->should_log(ToSpdlog(level)); }

void JsonLog::Flush() { m_logger->flush(); }

}  // namespace cornelrelay::telemetry
