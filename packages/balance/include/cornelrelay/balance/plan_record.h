#pragma once

#include <cstdint>
#include <optional>
#include <set>
#include <string>

#include "cornelrelay/balance/expert_map.h"

namespace cornelrelay::balance {

using Fence = std::uint64_t;
using StepIndex = std::uint64_t;

enum class PlanState : std::uint8_t { kProposed = 1, kCommitted = 2, kAborted = 3 };

/// \brief The only stored value of a group: which map each step uses, and whether the last plan is
/// decided.
///
/// Each transition is a compare-and-swap: a decided plan n to the proposed plan n+1, and a proposed
/// plan to its decision. The record names all maps that a rank of the group may still need, so one
/// read is enough after a restart: a plan is committed only after each rank has reached
/// `base_from`.
struct PlanRecord {
  std::uint64_t number = 0;
  Fence fence = 0;  ///< fence of the writer
  PlanState state = PlanState::kAborted;
  ExpertMap previous;  ///< map of the steps below `base_from`
  StepIndex base_from = 0;
  ExpertMap base;  ///< map of the steps from `base_from`
  StepIndex switch_at = 0;
  ExpertMap next;  ///< map of the steps from `switch_at`, once committed

  friend bool operator==(const PlanRecord&, const PlanRecord&) = default;

  /// \brief Returns the map of a step, or nothing while it depends on the decision.
  std::optional<ExpertMap> MapAt(StepIndex step) const;

  /// \brief Returns the map after the plan's decision. The record must be decided.
  const ExpertMap& CurrentMap() const;

  /// \brief Returns the experts that a rank needs from step `from` on, without those of an
  /// undecided plan.
  std::set<ExpertIndex> RequiredExperts(RankIndex rank, StepIndex from) const;

  /// \brief Returns the proposal that follows this decided record.
  PlanRecord Propose(Fence writer, ExpertMap map, StepIndex switch_step) const;

  /// \brief Returns the decision of this proposed record.
  PlanRecord Decide(Fence writer, bool commit) const;

  /// \brief Returns true if this record is a later state of the group than `other`.
  bool IsNewerThan(const PlanRecord& other) const;
};

/// \brief Converts to and from the stored form, a JSON text. DecodePlan throws CorruptPlan.
std::string EncodePlan(const PlanRecord& record);
PlanRecord DecodePlan(const std::string& bytes);

}  // namespace cornelrelay::balance
