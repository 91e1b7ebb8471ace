#pragma once

#include <compare>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "cornelrelay/profile/profile.h"

namespace cornelrelay::profile {

/// \brief The fields in which two profiles differ, for operators.
///
/// \code
/// for (const auto& line : ProfileDiff(before, after).Lines()) out << line << '\n';
/// // retry.attempts: 2 -> 3
/// \endcode
class ProfileDiff {
 public:
  /// \brief An absent side stands for a profile that does not exist.
  ProfileDiff(const std::optional<Profile>& before, const std::optional<Profile>& after);

  const std::vector<std::string>& Lines() const& { return m_lines; }
  /// By value, so that a loop over the lines of a temporary is safe.
  std::vector<std::string> Lines() && { return std::move(m_lines); }
  bool empty() const { return m_lines.empty(); }

 private:
  std::vector<std::string> m_lines;
};

/// \brief Field names and values as text, in document order.
std::vector<std::pair<std::string, std::string>> FieldTexts(const Profile& profile);

}  // namespace cornelrelay::profile
