#include "cornelrelay/profile/edit_outcome.h"

#include <type_traits>
#include <utility>

#include "cornelrelay/core/overloaded.h"

namespace cornelrelay::profile {
namespace {

std::string ConflictMessage(CatalogueRevision current, const std::vector<AppliedChange>& winners) {
  std::string text = "the catalogue has changed; its revision is " + std::to_string(current);
  for (const AppliedChange& winner : winners) {
    for (const std::string& line : Describe(winner)) text.append("\n").append(line);
  }
  return text;
}

}  // namespace

CatalogueConflict::CatalogueConflict(ChangeRequest mine, CatalogueRevision current,
                                     std::vector<AppliedChange> winners)
    : core::Error("catalogue_conflict", ConflictMessage(current, winners)),
      m_mine(std::move(mine)),
      m_current(current),
      m_winners(std::move(winners)) {}

StoreUnavailable::StoreUnavailable()
    : core::Error("store_unavailable", "the store did not answer; the change was not made") {}

OutcomeUnknown::OutcomeUnknown(ChangeId id, CatalogueRevision seen)
    : core::Error("outcome_unknown", "the store did not confirm the write; look for change " +
                                         id.value() + " in the history, or send it again with " +
                                         "its id and revision " + std::to_string(seen)),
      m_id(std::move(id)),
      m_seen(seen) {}

CatalogueRevision RevisionOrThrow(const EditOutcome& outcome) {
  return std::visit(core::Overloaded{[](const EditApplied& applied) { return applied.revision; },
                                     [](const auto& error) -> CatalogueRevision { throw error; }},
                    outcome);
}

}  // namespace cornelrelay::profile
