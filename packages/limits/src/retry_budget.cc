#include "cornelrelay/limits/retry_budget.h"

#include <algorithm>
#include <cassert>

namespace cornelrelay::limits {

namespace {

constexpr std::uint64_t kRetryCost = 1000;

}  // namespace

RetryBudget::RetryBudget(std::uint64_t permille, std::uint64_t most_saved, AdmissionFault fault)
    : m_permille(permille), m_most_saved(most_saved * kRetryCost), m_fault(fault) {}

void RetryBudget::SetMaxSaved(std::uint64_t retries) {
  m_most_saved = retries * kRetryCost;
  m_saved = std::min(m_saved, m_most_saved);
}

void RetryBudget::OnRequest() {
  ++m_requests;
  m_saved = std::min(m_saved + m_permille, m_most_saved);
}

bool RetryBudget::TryRetry() {
  const bool ignored = m_fault == AdmissionFault::kBudgetIgnored;
  if (m_saved < kRetryCost && !ignored) {
    ++m_refused;
    return false;
  }
  m_saved -= std::min(m_saved, kRetryCost);
  ++m_retries;
  assert(ignored || m_retries * kRetryCost <= m_requests * m_permille);
  return true;
}

}  // namespace cornelrelay::limits
