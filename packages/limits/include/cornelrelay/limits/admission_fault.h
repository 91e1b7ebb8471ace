#pragma once

namespace cornelrelay::limits {

/// \brief Deliberate faults, with which tests show that their checks detect them.
enum class AdmissionFault {
  kNone,
  kShareRoundedUp,  ///< every process rounds its share up
  kGrowAtOnce,      ///< a larger share applies before the view is settled
  kSettleAlone,     ///< a new process settles its first view without a member that settled before
  kAgingOff,        ///< low classes wait until higher classes are empty
  kBudgetIgnored,   ///< the retry budget refuses no retry
};

}  // namespace cornelrelay::limits
