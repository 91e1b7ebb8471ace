#pragma once

#include <spdlog/formatter.h>

#include <memory>
#include <string>
#include <string_view>

namespace cornelrelay::telemetry::internal {

/// \brief Name in spdlog's source location that marks a payload of rendered JSON members. It is
/// compared by address, so that no logged text can pose as JSON.
extern const char* const kRenderedMembers;

/// \brief Appends a JSON string with its quotes; invalid UTF-8 is replaced.
void AppendJsonString(std::string& out, std::string_view text);

/// \brief Makes each message one line of JSON with time, level and host.
class JsonFormatter : public spdlog::formatter {
 public:
  explicit JsonFormatter(std::string host) : m_host(std::move(host)) {}

  void format(const spdlog::details::log_msg& msg, spdlog::memory_buf_t& dest) override;
  std::unique_ptr<spdlog::formatter> clone() const override;

 private:
  std::string m_host;
};

}  // namespace cornelrelay::telemetry::internal
