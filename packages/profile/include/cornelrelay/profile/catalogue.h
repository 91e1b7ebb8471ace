#pragma once

#include <compare>
#include <cstddef>
#include <map>
#include <string>
#include <vector>

#include "cornelrelay/core/ids.h"
#include "cornelrelay/profile/change.h"
#include "cornelrelay/profile/profile.h"

namespace cornelrelay::profile {

/// \brief Parts of a catalogue.
struct CatalogueContent {
  CatalogueRevision revision = 0;
  std::map<core::ProfileName, Profile> profiles;
  std::map<core::ServiceId, core::ProfileName> services;
  core::ProfileName default_profile;
  std::vector<AppliedChange> history;  ///< oldest first
  std::vector<ChangeId> change_ids;    ///< oldest first

  friend auto operator<=>(const CatalogueContent&, const CatalogueContent&) = default;
};

/// \brief All profiles and assignments under one increasing revision; immutable.
///
/// \code
/// const Catalogue catalogue = DecodeCatalogue(bytes);
/// const Profile& profile = catalogue.ProfileOf(core::ServiceId("orders"));
/// \endcode
class Catalogue {
 public:
  static constexpr std::size_t kHistoryLimit = 64;
  /// A writer finds its change among so many newer ones when it reads back.
  static constexpr std::size_t kChangeIdLimit = 256;
  /// The store holds values up to 1 MB.
  static constexpr std::size_t kMaxBytes = 1'000'000;
  /// One profile or assignment stays far below kMaxBytes; this bounds what a decoder accepts.
  static constexpr std::size_t kMaxProfiles = 1'000;
  static constexpr std::size_t kMaxServices = 10'000;

  /// \brief Revision 0 with one profile named `default`.
  static Catalogue Initial();

  /// \brief Throws MalformedCatalogue when the parts contradict one another.
  explicit Catalogue(CatalogueContent content);

  CatalogueRevision revision() const { return m_content.revision; }
  const CatalogueContent& content() const { return m_content; }

  /// \brief The assigned profile, or the default one.
  const Profile& ProfileOf(const core::ServiceId& service) const;
  /// \brief Null when there is no such profile.
  const Profile* Find(const core::ProfileName& name) const;
  std::vector<core::ServiceId> ServicesUnder(const core::ProfileName& name) const;

  /// \brief True when the change is among the last kChangeIdLimit.
  bool Contains(const ChangeId& id) const;
  /// \brief Revision that the change led to; 0 when it is not among the last kChangeIdLimit.
  CatalogueRevision RevisionOf(const ChangeId& id) const;
  /// \brief Changes in the history that are newer than a revision.
  std::vector<AppliedChange> ChangesAfter(CatalogueRevision revision) const;

  friend auto operator<=>(const Catalogue&, const Catalogue&) = default;

 private:
  CatalogueContent m_content;
};

}  // namespace cornelrelay::profile
