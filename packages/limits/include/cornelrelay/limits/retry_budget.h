#pragma once

#include <cstdint>

#include "cornelrelay/limits/admission_fault.h"

namespace cornelrelay::limits {

/// \brief Limits retries and hedges to a fraction of the requests, so that they do not amplify a
/// brown-out.
///
/// The budget starts empty, and each request earns `permille` thousandths of a retry. While
/// `permille` is unchanged, retries are therefore never more than that fraction of the requests:
/// with the default of 80, there are at most 1.08 attempts per request, which is under 1.1.
/// \code
/// budget.OnRequest();
/// if (idempotent && budget.TryRetry()) resend();
/// \endcode
class RetryBudget {
 public:
  /// \param permille thousandths of a retry earned by each request
  /// \param max_saved limit of unused retries that are kept
  explicit RetryBudget(std::uint64_t permille = 80, std::uint64_t max_saved = 3,
                       AdmissionFault fault = AdmissionFault::kNone);

  /// \brief Changes what later requests earn. Saved retries are kept.
  void SetPermille(std::uint64_t permille) { m_permille = permille; }

  /// \brief Changes how many unused retries are kept. Those above the new limit are dropped.
  void SetMaxSaved(std::uint64_t retries);

  /// \brief Counts a request and credits what it earns.
  void OnRequest();

  /// \brief Spends one retry. Returns false, and counts a refusal, if less than one is saved.
  bool TryRetry();

  std::uint64_t requests() const { return m_requests; }
  std::uint64_t retries() const { return m_retries; }
  std::uint64_t refused() const { return m_refused; }

  /// \brief Retries that may be made now, with fractions.
  double saved() const { return static_cast<double>(m_saved_thousandths) / 1000; }

 private:
  std::uint64_t m_permille;
  std::uint64_t m_max_saved_thousandths;  // bounds the burst of retries after a quiet period
  AdmissionFault m_fault;
  std::uint64_t m_saved_thousandths = 0;
  std::uint64_t m_requests = 0;
  std::uint64_t m_retries = 0;
  std::uint64_t m_refused = 0;
};

}  // namespace cornelrelay::limits
