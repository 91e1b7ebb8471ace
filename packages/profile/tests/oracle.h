#pragma once

#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "cornelrelay/profile/apply_change.h"
#include "cornelrelay/profile/catalogue_codec.h"
#include "cornelrelay/profile/change_rejected.h"
#include "cornelrelay/profile/edit_outcome.h"
#include "cornelrelay/store/testing/store_model.h"

namespace cornelrelay::profile::testing {

/// \brief What must hold for the store, for each process and for what operators were told.
///
/// Violations are thrown as strings.
class Oracle {
 public:
  void AddRequest(const ChangeRequest& request) { m_requests[request.id] = request; }
  void AddOutcome(const ChangeRequest& request, const EditOutcome& outcome) {
    m_outcomes.emplace_back(request, outcome);
  }

  CatalogueRevision Newest() const { return m_catalogues.back().revision(); }
  const std::vector<std::pair<ChangeRequest, EditOutcome>>& Outcomes() const { return m_outcomes; }

  /// \brief Each new write must make one requested change on the catalogue before it.
  void CheckWrites(const std::vector<store::testing::StoreModel::Write>& writes) {
    for (; m_checked_writes < writes.size(); ++m_checked_writes) {
      const Catalogue next = DecodeCatalogue(*writes[m_checked_writes].value);
      const ChangeId id = next.content().change_ids.back();
      Require(m_written.emplace(id, next.revision()).second, "a change was applied twice");
      Require(Follows(next, m_requests.at(id)), "a write lost an accepted change");
      m_catalogues.push_back(next);
    }
  }

  /// \brief A process applies `catalogue`; `revision` is what it had, and is updated.
  void CheckApplied(std::optional<CatalogueRevision>& revision, const Catalogue& catalogue) const {
    Require(!revision || catalogue.revision() > *revision, "a revision decreased");
    revision = catalogue.revision();
    Require(catalogue.revision() < m_catalogues.size() &&
                m_catalogues[catalogue.revision()] == catalogue,
            "an applied catalogue was never in the store");
  }

  /// \brief What operators were told must agree with what the store holds now.
  void CheckOutcomes() const {
    for (const auto& [request, outcome] : m_outcomes) {
      const auto written = m_written.find(request.id);
      if (const auto* applied = std::get_if<EditApplied>(&outcome)) {
        Require(written != m_written.end(), "an accepted change is not in the store");
        Require(written->second == applied->revision, "an accepted change has another revision");
        Require(!request.seen || *request.seen + 1 == applied->revision,
                "a change was accepted over one that its operator had not seen");
      } else if (!std::holds_alternative<OutcomeUnknown>(outcome)) {
        Require(written == m_written.end(), "a change reported as not made is in the store");
      }
      if (const auto* conflict = std::get_if<CatalogueConflict>(&outcome)) {
        Require(conflict->mine() == request, "a conflict shows another change as the own one");
        Require(!conflict->winners().empty(), "a conflict shows no winner");
      }
    }
  }

 private:
  static void Require(bool condition, const char* violation) {
    if (!condition) throw std::string(violation);
  }

  bool Follows(const Catalogue& next, const ChangeRequest& request) const {
    try {
      return next == ApplyChange(m_catalogues.back(), request);
    } catch (const ChangeRejected&) {
      return false;  // the edit cannot be made on the catalogue that it replaced
    }
  }

  std::map<ChangeId, ChangeRequest> m_requests;
  std::map<ChangeId, CatalogueRevision> m_written;
  std::vector<Catalogue> m_catalogues = {Catalogue::Initial()};  ///< by revision
  std::size_t m_checked_writes = 0;
  std::vector<std::pair<ChangeRequest, EditOutcome>> m_outcomes;
};

}  // namespace cornelrelay::profile::testing
