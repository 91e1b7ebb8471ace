#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "cornelrelay/core/ids.h"
#include "cornelrelay/profile/profile.h"

namespace cornelrelay::profile {

/// \brief Counts the changes of a catalogue; 0 is the initial catalogue.
using CatalogueRevision = std::uint64_t;

/// \brief Names one change for ever; chosen at random by its author.
using ChangeId = core::StrongId<struct ChangeIdTag>;

using OperatorName = core::StrongId<struct OperatorNameTag>;

struct CreateProfile {
  Profile profile;

  friend auto operator<=>(const CreateProfile&, const CreateProfile&) = default;
};

/// \brief Replaces the profile of the same name.
struct ChangeProfile {
  Profile profile;

  friend auto operator<=>(const ChangeProfile&, const ChangeProfile&) = default;
};

struct RetireProfile {
  core::ProfileName name;
  bool force = false;  ///< also when in use; its services then run under the default profile

  friend auto operator<=>(const RetireProfile&, const RetireProfile&) = default;
};

/// \brief Puts a service under a profile; without one, under the default profile.
struct AssignService {
  core::ServiceId service;
  std::optional<core::ProfileName> profile;

  friend auto operator<=>(const AssignService&, const AssignService&) = default;
};

struct SetDefaultProfile {
  core::ProfileName name;

  friend auto operator<=>(const SetDefaultProfile&, const SetDefaultProfile&) = default;
};

/// \brief What an operator wants to change.
using Edit =
    std::variant<CreateProfile, ChangeProfile, RetireProfile, AssignService, SetDefaultProfile>;

/// \brief `create`, `change`, `retire`, `assign` or `set_default`.
std::string_view KindName(const Edit& edit);

/// \brief An edit with its author and the catalogue that the author looked at.
struct ChangeRequest {
  ChangeId id;
  OperatorName author;
  std::int64_t unix_ms = 0;
  std::optional<CatalogueRevision> seen;  ///< empty: whatever is current when the edit starts
  Edit edit;
  /// The same change ended as OutcomeUnknown before, with this id; needs `seen`.
  bool sent_again = false;

  friend auto operator<=>(const ChangeRequest&, const ChangeRequest&) = default;
};

/// \brief A change that is in force, as the history keeps it.
struct AppliedChange {
  CatalogueRevision revision = 0;  ///< of the catalogue that it led to
  ChangeId id;
  OperatorName author;
  std::int64_t unix_ms = 0;
  std::string kind;     ///< see KindName()
  std::string subject;  ///< name of the profile or service
  std::optional<Profile> profile_before;
  std::optional<Profile> profile_after;
  /// Assignments `service -> profile` changed on the way; an absent name is the default profile.
  std::optional<core::ProfileName> name_before;
  std::optional<core::ProfileName> name_after;
  std::vector<core::ServiceId> moved_services;  ///< to the default, by a forced retirement

  friend auto operator<=>(const AppliedChange&, const AppliedChange&) = default;
};

/// \brief The change as readable lines, the first naming revision, author, kind and subject.
std::vector<std::string> Describe(const AppliedChange& change);

}  // namespace cornelrelay::profile
