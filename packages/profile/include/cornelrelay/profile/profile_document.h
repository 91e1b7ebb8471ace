#pragma once

#include <string>
#include <string_view>

#include "cornelrelay/profile/profile.h"

namespace cornelrelay::profile {

/// \brief A profile as operators write it, in TOML. Fields that are left out have their defaults.
///
/// \code
/// const ProfileDocument document(text, "morning-peak.toml");  // InvalidProfileDocument
/// editor.Change(document.profile());
/// \endcode
class ProfileDocument {
 public:
  /// \param source name of the text in messages
  ProfileDocument(std::string_view text, const std::string& source);
  explicit ProfileDocument(Profile profile);

  const Profile& profile() const { return m_profile; }

  /// \brief TOML text with all fields, which parses to the same profile.
  std::string Text() const;

 private:
  Profile m_profile;
};

}  // namespace cornelrelay::profile
