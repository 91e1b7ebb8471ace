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

/// \brief The stored map plan of a group: which map each step uses, and whether the last plan is
/// decided.
///
/// Each write is a compare-and-swap. It replaces a decided plan n by the proposed plan n+1, or a
/// proposed plan by its decision, or it changes only the fence of a decided plan.
///
/// A plan is committed only after each rank has completed all steps below `base_from`. The record
/// therefore contains every map that a rank may still need, and one read of it is enough after a
/// restart.
struct PlanRecord {
  std::uint64_t number = 0;
  Fence fence = 0;                        ///< fence of the writer
  PlanState state = PlanState::kAborted;  ///< kAborted for plan 0, so a new group uses `base`
  ExpertMap previous;                     ///< map of the steps below `base_from`
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
