#pragma once

#include <cstddef>
#include <map>

#include "cornelrelay/core/ids.h"
#include "cornelrelay/limits/retry_budget.h"
#include "cornelrelay/settings/relay_settings.h"

namespace cornelrelay::relay {

/// \brief This process's share of the fleet's retry budget, for each service.
///
/// Each request earns a fraction of a retry, and the fleet's slack is divided equally among the
/// live entry processes. The processes need not communicate for this, and the sum of their retries
/// stays within the budget while processes start and stop.
class RetryBudgets {
 public:
  explicit RetryBudgets(settings::RetrySettings settings);

  /// \brief Sets the number of entry processes, including this one, that share the slack.
  void SetProcessCount(std::size_t process_count);

  limits::RetryBudget& ForService(const core::ServiceId& service);

 private:
  std::uint64_t MaxSavedRetries() const;

  settings::RetrySettings m_settings;
  std::size_t m_process_count;
  std::map<core::ServiceId, limits::RetryBudget> m_budgets;
};

}  // namespace cornelrelay::relay
