#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <vector>

namespace cornelrelay::settings {

/// \brief One fault of a settings file. Lines and columns count from 1.
struct SettingsFault {
  std::string file;
  std::uint32_t line = 1;
  std::uint32_t column = 1;
  std::string message;

  // clang-tidy 14 takes the 0 in the generated comparison for a null pointer.
  // NOLINTNEXTLINE(modernize-use-nullptr)
  friend auto operator<=>(const SettingsFault&, const SettingsFault&) = default;
  friend bool operator==(const SettingsFault&, const SettingsFault&) = default;
};

/// \brief All faults, one `file:line:column: message` a line.
std::string FormatFaults(const std::vector<SettingsFault>& faults);

}  // namespace cornelrelay::settings
