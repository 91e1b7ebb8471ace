#include "cornelrelay/settings/invalid_settings.h"

#include <cassert>
#include <utility>

namespace cornelrelay::settings {

std::string FormatFaults(const std::vector<SettingsFault>& faults) {
  std::string text;
  for (const SettingsFault& fault : faults) {
    text += fault.file + ':' + std::to_string(fault.line) + ':' + std::to_string(fault.column) +
            ": " + fault.message + '\n';
  }
  return text;
}

InvalidSettings::InvalidSettings(std::vector<SettingsFault> faults)
    : Error("invalid_settings", FormatFaults(faults)), m_faults(std::move(faults)) {
  assert(!m_faults.empty());
}

}  // namespace cornelrelay::settings
