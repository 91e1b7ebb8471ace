#pragma once

namespace cornelrelay::gossip {

/// \brief Deliberate faults, set by tests only, which show that a check detects its failure.
struct Faults {
  bool drop_leaving_notices = false;
  bool ignore_incarnation = false;
  bool no_mass_loss_rule = false;
};

}  // namespace cornelrelay::gossip
