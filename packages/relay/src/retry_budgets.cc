#include "cornelrelay/relay/retry_budgets.h"

#include <algorithm>

namespace cornelrelay::relay {
namespace {

/// Fraction of the configured budget that is used. The rest is a safety margin for two cases: a
/// request adds to the budget on arrival, but its first attempt is sent and counted only after the
/// wait in the queue; and a process that restarts loses its counts and starts with an empty budget.
constexpr double kUsedBudgetShare = 0.6;
constexpr double kPermille = 1000;
/// Number of entry processes that is assumed until the peers are known.
constexpr std::size_t kAssumedProcessCount = 16;

}  // namespace

RetryBudgets::RetryBudgets(settings::RetrySettings settings)
    : m_settings(settings), m_process_count(kAssumedProcessCount) {}

std::uint64_t RetryBudgets::MaxSavedRetries() const {
  const double share = m_settings.slack * kUsedBudgetShare / static_cast<double>(m_process_count);
  return std::max<std::uint64_t>(1, static_cast<std::uint64_t>(share));
}

void RetryBudgets::SetProcessCount(std::size_t process_count) {
  const std::size_t count = std::max<std::size_t>(process_count, 1);
  if (count == m_process_count) return;
  m_process_count = count;
  for (auto& [service, budget] : m_budgets) budget.SetMaxSaved(MaxSavedRetries());
}

limits::RetryBudget& RetryBudgets::ForService(const core::ServiceId& service) {
  const auto permille = static_cast<std::uint64_t>(m_settings.ratio * kUsedBudgetShare * kPermille);
  return m_budgets.try_emplace(service, permille, MaxSavedRetries()).first->second;
}

}  // namespace cornelrelay::relay
