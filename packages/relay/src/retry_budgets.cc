#include "cornelrelay/relay/retry_budgets.h"

#include <algorithm>

namespace cornelrelay::relay {
namespace {

/// Part of the budget that is used. The rest covers requests whose first attempt was counted late
/// and processes that restart with an empty memory.
constexpr double kUsedShare = 0.6;
constexpr double kPermille = 1000;
/// Assumed before any peer is known.
constexpr std::size_t kUsualProcesses = 16;

}  // namespace

RetryBudgets::RetryBudgets(settings::RetrySettings settings)
    : m_settings(settings), m_processes(kUsualProcesses) {}

std::uint64_t RetryBudgets::MostSaved() const {
  const double share = m_settings.slack * kUsedShare / static_cast<double>(m_processes);
  return std::max<std::uint64_t>(1, static_cast<std::uint64_t>(share));
}

void RetryBudgets::SetProcesses(std::size_t processes) {
  const std::size_t counted = std::max<std::size_t>(processes, 1);
  if (counted == m_processes) return;
  m_processes = counted;
  for (auto& [service, budget] : m_budgets) budget.SetMaxSaved(MostSaved());
}

limits::RetryBudget& RetryBudgets::Of(const core::ServiceId& service) {
  const auto permille = static_cast<std::uint64_t>(m_settings.ratio * kUsedShare * kPermille);
  return m_budgets.try_emplace(service, permille, MostSaved()).first->second;
}

}  // namespace cornelrelay::relay
