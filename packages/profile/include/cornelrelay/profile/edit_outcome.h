#pragma once

#include <string>
#include <variant>
#include <vector>

#include "cornelrelay/core/error.h"
#include "cornelrelay/profile/change.h"
#include "cornelrelay/profile/change_rejected.h"
#include "cornelrelay/profile/malformed_catalogue.h"

namespace cornelrelay::profile {

/// \brief The change is in force under this revision.
struct EditApplied {
  CatalogueRevision revision = 0;

  friend auto operator<=>(const EditApplied&, const EditApplied&) = default;
};

/// \brief Another change came first. The own change was not made and will not be.
class CatalogueConflict : public core::Error {
 public:
  CatalogueConflict(ChangeRequest mine, CatalogueRevision current,
                    std::vector<AppliedChange> winners);

  const ChangeRequest& mine() const { return m_mine; }
  /// \brief The revision to look at before trying again.
  CatalogueRevision current() const { return m_current; }
  /// \brief Changes since the revision that the operator saw, as far as the history reaches.
  const std::vector<AppliedChange>& winners() const { return m_winners; }

 private:
  ChangeRequest m_mine;
  CatalogueRevision m_current;
  std::vector<AppliedChange> m_winners;
};

/// \brief The store could not be reached. The change was not made and will not be.
class StoreUnavailable : public core::Error {
 public:
  StoreUnavailable();
};

/// \brief The write has no answer and could not be settled by reading back.
class OutcomeUnknown : public core::Error {
 public:
  OutcomeUnknown(ChangeId id, CatalogueRevision seen);

  /// \brief Look for it in the history to learn whether the change was made.
  const ChangeId& id() const { return m_id; }
  /// \brief The revision to name as `seen` when the change is sent again.
  CatalogueRevision seen() const { return m_seen; }

 private:
  ChangeId m_id;
  CatalogueRevision m_seen;
};

/// \brief How an edit ended; all alternatives but EditApplied are exceptions to be thrown or shown.
using EditOutcome = std::variant<EditApplied, CatalogueConflict, StoreUnavailable, OutcomeUnknown,
                                 UnknownProfile, ProfileExists, ProfileInUse, DefaultProfileInUse,
                                 InvalidEdit, CatalogueTooLarge, MalformedCatalogue>;

/// \brief The revision of an applied edit; throws the exception of any other outcome.
CatalogueRevision RevisionOrThrow(const EditOutcome& outcome);

}  // namespace cornelrelay::profile
