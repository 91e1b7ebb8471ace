#pragma once

#include <concepts>
#include <cstdint>
#include <string>
#include <string_view>
#include <variant>

#include "cornelrelay/core/execution.h"
#include "cornelrelay/core/strong_id.h"
#include "cornelrelay/core/time.h"

namespace cornelrelay::telemetry {

/// \brief A named, typed value of a log line. It refers to its text and must not outlive it.
///
/// Times are written as whole microseconds; their keys end in `_us`. There is no conversion from
/// credential types.
class LogField {
 public:
  using Value = std::variant<bool, std::int64_t, std::uint64_t, double, std::string_view>;

  LogField(std::string_view key, bool value) : m_key(key), m_value(value) {}
  LogField(std::string_view key, std::signed_integral auto value)
      : m_key(key), m_value(std::int64_t{value}) {}
  LogField(std::string_view key, std::unsigned_integral auto value)
      : m_key(key), m_value(std::uint64_t{value}) {}
  LogField(std::string_view key, double value) : m_key(key), m_value(value) {}
  LogField(std::string_view key, std::string_view value) : m_key(key), m_value(value) {}
  LogField(std::string_view key, const char* value) : LogField(key, std::string_view(value)) {}
  LogField(std::string_view key, const std::string& value)
      : LogField(key, std::string_view(value)) {}
  LogField(std::string_view key, core::Duration value) : LogField(key, value.count()) {}
  LogField(std::string_view key, core::Execution value) : LogField(key, core::ToString(value)) {}
  template <class Tag>
  LogField(std::string_view key, const core::StrongId<Tag>& value)
      : LogField(key, std::string_view(value.value())) {}

  std::string_view key() const { return m_key; }
  const Value& value() const { return m_value; }

 private:
  std::string_view m_key;
  Value m_value;
};

}  // namespace cornelrelay::telemetry
