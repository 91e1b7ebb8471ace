#pragma once

#include <chrono>
#include <cstdint>

#include "cornelrelay/balance/expert_map.h"
#include "cornelrelay/balance/plan_record.h"
#include "cornelrelay/core/time.h"

namespace cornelrelay::balance {

/// \brief Settings of a MapSwitchCoordinator.
struct CoordinatorSettings {
  RankIndex ranks = 1;  ///< number of ranks in the group
  /// Loads are ordered one after another at this rate, so that the weight store's limit holds for
  /// the whole group.
  std::uint64_t weight_bytes_per_second = 1'000'000'000;
  std::uint64_t expert_bytes = 100'000'000;  ///< size of one expert's weights
  /// Steps between the proposal and the switch; a plan that is not loaded by then stalls the group
  /// until it is decided.
  StepIndex lead_steps = 1000;
  /// Time from the stored proposal after which a plan that not all ranks have confirmed is aborted.
  core::Duration prepare_timeout = std::chrono::minutes(5);
  /// Interval at which the plan record is read while no plan is in progress.
  core::Duration poll_interval = std::chrono::seconds(10);
  /// Time after which an order without confirmation is sent again, and after which the record is
  /// read when a store call had no answer.
  core::Duration resend_interval = std::chrono::seconds(1);
};

}  // namespace cornelrelay::balance
