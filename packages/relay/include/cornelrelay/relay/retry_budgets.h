#pragma once

#include <cstddef>
#include <map>

#include "cornelrelay/core/ids.h"
#include "cornelrelay/limits/retry_budget.h"
#include "cornelrelay/settings/relay_settings.h"

namespace cornelrelay::relay {

/// \brief This process's share of the fleet's retry budget, for each service.
///
/// Each request adds a fraction of a retry (RetrySettings::ratio) to its service's budget. The
/// maximum number of saved retries of a service in all processes together (RetrySettings::slack) is
/// divided equally among the live entry processes (see RelayProcess). The processes need not
/// communicate for this. Each one uses only 60 % of the ratio and of its share of the slack, so
/// that the sum of their retries stays within the budget while processes start and stop. The sum
/// can exceed the budget if the slack is small for the number of processes, because each process
/// may save at least one retry.
class RetryBudgets {
 public:
  explicit RetryBudgets(settings::RetrySettings settings);

  /// \brief Sets the number of entry processes, including this one, that share
  /// RetrySettings::slack.
  void SetProcessCount(std::size_t process_count);

  limits::RetryBudget& ForService(const core::ServiceId& service);

 private:
  std::uint64_t MaxSavedRetries() const;

  settings::RetrySettings m_settings;
  std::size_t m_process_count;
  std::map<core::ServiceId, limits::RetryBudget> m_budgets;
};

}  // namespace cornelrelay::relay
