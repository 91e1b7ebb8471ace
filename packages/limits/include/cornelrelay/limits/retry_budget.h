#pragma once

#include <cstdint>

#include "cornelrelay/limits/admission_fault.h"

namespace cornelrelay::limits {

/// \brief Bounds retries and hedges to a part of the requests, so a brown-out is not amplified.
///
/// Starts empty and earns `permille` thousandths of a retry with each request. Retries are
/// therefore always at most that part of the requests: with the default of 80, total attempts stay
/// under 1.1 times the requests. \code budget.OnRequest(); if (idempotent && budget.TryRetry())
/// resend(); \endcode
class RetryBudget {
 public:
  explicit RetryBudget(std::uint64_t permille = 80, std::uint64_t most_saved = 3,
                       AdmissionFault fault = AdmissionFault::kNone);

  /// \brief Changes what later requests earn; what is saved stays.
  void SetPermille(std::uint64_t permille) { m_permille = permille; }

  /// \brief Changes how many retries may be saved up; what is saved beyond that is lost.
  void SetMaxSaved(std::uint64_t retries);

  void OnRequest();
  bool TryRetry();

  std::uint64_t requests() const { return m_requests; }
  std::uint64_t retries() const { return m_retries; }
  std::uint64_t refused() const { return m_refused; }
  double saved() const { return static_cast<double>(m_saved) / 1000; }

 private:
  std::uint64_t m_permille;
  std::uint64_t m_most_saved;  // thousandths; credit of quiet hours must not feed a burst
  AdmissionFault m_fault;
  std::uint64_t m_saved = 0;
  std::uint64_t m_requests = 0;
  std::uint64_t m_retries = 0;
  std::uint64_t m_refused = 0;
};

}  // namespace cornelrelay::limits
