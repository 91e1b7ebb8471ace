#pragma once

#include <compare>
#include <string>
#include <string_view>
#include <vector>

#include "cornelrelay/profile/profile.h"

namespace cornelrelay::profile {

/// \brief A value that a profile must not have.
struct FieldFault {
  std::vector<std::string> fields;  ///< `section.key` of all fields involved, the culprit first
  std::string message;

  friend auto operator<=>(const FieldFault&, const FieldFault&) = default;
};

/// \brief 1 to 64 characters from `A-Z a-z 0-9 . _ -`, as in the settings of both binaries.
bool IsValidName(std::string_view name);

/// \brief All faults of a profile's name and values; empty for a profile that may be used.
std::vector<FieldFault> CheckProfile(const Profile& profile);

}  // namespace cornelrelay::profile
