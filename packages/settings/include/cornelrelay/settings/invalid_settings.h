#pragma once

#include <vector>

#include "cornelrelay/core/error.h"
#include "cornelrelay/settings/settings_fault.h"

namespace cornelrelay::settings {

/// \brief A settings file has faults; carries all of them in the order of the file.
///
/// \code
/// catch (const InvalidSettings& e) { std::cerr << FormatFaults(e.faults()); return 2; }
/// \endcode
class InvalidSettings : public core::Error {
 public:
  explicit InvalidSettings(std::vector<SettingsFault> faults);

  const std::vector<SettingsFault>& faults() const { return m_faults; }

 private:
  std::vector<SettingsFault> m_faults;
};

}  // namespace cornelrelay::settings
