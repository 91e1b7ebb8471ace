#pragma once

#include <string>
#include <utility>
#include <vector>

#include "cornelrelay/core/toml.h"
#include "cornelrelay/settings/settings_fault.h"

namespace cornelrelay::settings::internal {

/// \brief Collects the faults of one file, so that all of them are reported together.
class FaultList {
 public:
  explicit FaultList(std::string file) : m_file(std::move(file)) {}

  const std::string& file() const { return m_file; }

  void Add(const toml::source_region& where, std::string message);

  /// \brief Throws InvalidSettings if there are faults.
  void ThrowIfAny();

 private:
  std::string m_file;
  std::vector<SettingsFault> m_faults;
};

}  // namespace cornelrelay::settings::internal
