#include "json_formatter.h"

#include <spdlog/details/log_msg.h>
#include <spdlog/fmt/chrono.h>
#include <spdlog/fmt/fmt.h>

#include <chrono>
#include <nlohmann/json.hpp>

#include "cornelrelay/telemetry/redact.h"

namespace cornelrelay::telemetry::internal {

const char* const kRenderedMembers = "rendered members";

void AppendJsonString(std::string& out, std::string_view text) {
  using nlohmann::json;
  out += json(text).dump(-1, ' ', false, json::error_handler_t::replace);
}

void JsonFormatter::format(const spdlog::details::log_msg& msg, spdlog::memory_buf_t& dest) {
  using std::chrono::floor;
  using std::chrono::milliseconds;
  const auto time = floor<milliseconds>(msg.time);
  const auto second = floor<std::chrono::seconds>(time);
  std::string line =
      fmt::format("{{\"time\":\"{:%Y-%m-%dT%H:%M:%S}.{:03}Z\",\"level\":\"{}\",\"host\":",
                  fmt::gmtime(std::chrono::system_clock::to_time_t(second)),
                  (time - second).count(), spdlog::level::to_string_view(msg.level));
  AppendJsonString(line, m_host);
  const std::string_view payload(msg.payload.data(), msg.payload.size());
  if (msg.source.funcname == kRenderedMembers) {
    line.append(",").append(payload);
  } else {
    line += ",\"event\":\"text\",\"message\":";
    AppendJsonString(line, RedactSecrets(payload));
  }
  line += "}\n";
  dest.append(line.data(), line.data() + line.size());
}

std::unique_ptr<spdlog::formatter> JsonFormatter::clone() const {
  return std::make_unique<JsonFormatter>(m_host);
}

}  // namespace cornelrelay::telemetry::internal
