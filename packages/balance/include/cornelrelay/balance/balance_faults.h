#pragma once

namespace cornelrelay::balance {

/// \brief Deliberate faults; tests use them to show that the checks detect each one. All are off in
/// production.
struct BalanceFaults {
  bool accept_old_fence = false;    ///< gates accept orders of a former coordinator
  bool skip_confirmation = false;   ///< the coordinator commits without all confirmations
  bool gate_does_not_hold = false;  ///< gates allow an undecided step with the old map

  friend bool operator==(const BalanceFaults&, const BalanceFaults&) = default;
};

}  // namespace cornelrelay::balance
