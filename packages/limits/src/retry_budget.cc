#include "cornelrelay/limits/retry_budget.h"

#include <algorithm>
#include <cassert>

namespace cornelrelay::limits {

namespace {

constexpr std::uint64_t kThousandthsPerRetry = 1000;

}  // namespace

RetryBudget::RetryBudget(std::uint64_t permille, std::uint64_t max_saved, AdmissionFault fault)
    : m_permille(permille),
      m_max_saved_thousandths(max_saved * kThousandthsPerRetry),
      m_fault(fault) {}

void RetryBudget::SetMaxSaved(std::uint64_t retries) {
  m_max_saved_thousandths = retries * kThousandthsPerRetry;
  m_saved_thousandths = std::min(m_saved_thousandths, m_max_saved_thousandths);
}

void RetryBudget::OnRequest() {
  ++m_requests;
  m_saved_thousandths = std::min(m_saved_thousandths + m_permille, m_max_saved_thousandths);
}

bool RetryBudget::TryRetry() {
  const bool ignored = m_fault == AdmissionFault::kBudgetIgnored;
  if (m_saved_thousandths < kThousandthsPerRetry && !ignored) {
    ++m_refused;
    return false;
  }
  m_saved_thousandths -= std::min(m_saved_thousandths, kThousandthsPerRetry);
  ++m_retries;
  assert(ignored || m_retries * kThousandthsPerRetry <= m_requests * m_permille);
  return true;
}

}  // namespace cornelrelay::limits
