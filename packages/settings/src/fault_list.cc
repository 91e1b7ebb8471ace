#include "fault_list.h"

#include <algorithm>

#include "cornelrelay/settings/invalid_settings.h"

namespace cornelrelay::settings::internal {

void FaultList::Add(const toml::source_region& where, std::string message) {
  // The root table of an empty document has no position.
  const std::uint32_t line = std::max<std::uint32_t>(where.begin.line, 1);
  const std::uint32_t column = std::max<std::uint32_t>(where.begin.column, 1);
  m_faults.push_back({m_file, line, column, std::move(message)});
}

void FaultList::ThrowIfAny() {
  if (m_faults.empty()) return;
  std::sort(m_faults.begin(), m_faults.end());
  throw InvalidSettings(std::move(m_faults));
}

}  // namespace cornelrelay::settings::internal
