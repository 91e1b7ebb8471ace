#pragma once

#include <cstddef>
#include <map>

#include "cornelrelay/core/ids.h"
#include "cornelrelay/limits/retry_budget.h"
#include "cornelrelay/settings/relay_settings.h"

namespace cornelrelay::relay {

/// \brief This process's part of the fleet's retry budget, for each service.
///
/// Each request earns a part of a retry; the fleet's slack is divided over the live processes. No
/// call is needed, and the sum stays within the budget also while processes come and go.
class RetryBudgets {
 public:
  explicit RetryBudgets(settings::RetrySettings settings);

  /// \brief Divides the slack over so many entry processes, this one included.
  void SetProcesses(std::size_t processes);

  limits::RetryBudget& Of(const core::ServiceId& service);

 private:
  std::uint64_t MostSaved() const;

  settings::RetrySettings m_settings;
  std::size_t m_processes;
  std::map<core::ServiceId, limits::RetryBudget> m_budgets;
};

}  // namespace cornelrelay::relay
