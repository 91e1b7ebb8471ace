#include "field_text.h"

#include <array>
#include <charconv>

namespace cornelrelay::profile::internal {

std::string NameOf(const Field& field) { return std::string(field.section) + "." + field.key; }

std::string NumberText(double value) {
  std::array<char, 64> buffer{};
  const auto result = std::to_chars(buffer.data(), buffer.data() + buffer.size(), value);
  return {buffer.data(), result.ptr};
}

std::string FieldText(core::Duration value) {
  return std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(value).count());
}

std::string FieldText(Priority value) { return '"' + std::string(ToString(value)) + '"'; }

std::string FieldText(bool value) { return value ? "true" : "false"; }

std::string FieldText(std::uint32_t value) { return std::to_string(value); }

std::string FieldText(double value) {
  std::string text = NumberText(value);
  // TOML requires a fraction in a floating-point number without an exponent.
  if (text.find_first_of(".e") == std::string::npos) text += ".0";
  return text;
}

std::string FieldText(const std::vector<CallPattern>& value) {
  std::string text = "[";
  for (const CallPattern& pattern : value) {
    if (text.size() > 1) text += ", ";
    text += '\'' + ToString(pattern) + '\'';  // a literal string, so that no escapes are needed
  }
  return text + "]";
}

}  // namespace cornelrelay::profile::internal
