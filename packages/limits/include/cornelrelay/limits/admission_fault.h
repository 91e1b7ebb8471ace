#pragma once

namespace cornelrelay::limits {

/// \brief Deliberate faults for tests, which show that the checks detect them.
enum class AdmissionFault {
  kNone,
  kShareRoundedUp,  ///< every process takes the rounded-up share
  kGrowAtOnce,      ///< a larger share applies before the view is settled
  kSettleAlone,     ///< a new process settles without a member that settled before
  kAgingOff,        ///< low classes wait until higher ones are empty
  kBudgetIgnored,   ///< retries are never refused
};

}  // namespace cornelrelay::limits
