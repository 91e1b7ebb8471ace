#include "cornelrelay/profile/change_rejected.h"

#include <utility>

namespace cornelrelay::profile {
namespace {

std::string InUseMessage(const core::ProfileName& name,
                         const std::vector<core::ServiceId>& services) {
  std::string text = "profile " + name.value() + " is in use by ";
  for (std::size_t i = 0; i < services.size(); ++i) {
    text += (i == 0 ? "" : ", ") + services[i].value();
  }
  return text + "; force the retirement to move them to the default profile";
}

}  // namespace

UnknownProfile::UnknownProfile(const core::ProfileName& name)
    : ChangeRejected("unknown_profile", "there is no profile " + name.value()) {}

ProfileExists::ProfileExists(const core::ProfileName& name)
    : ChangeRejected("profile_exists", "profile " + name.value() + " exists already") {}

ProfileInUse::ProfileInUse(const core::ProfileName& name, std::vector<core::ServiceId> services)
    : ChangeRejected("profile_in_use", InUseMessage(name, services)),
      m_services(std::move(services)) {}

DefaultProfileInUse::DefaultProfileInUse(const core::ProfileName& name)
    : ChangeRejected("default_profile_in_use",
                     "profile " + name.value() +
                         " is the default profile; choose another default before retiring it") {}

InvalidEdit::InvalidEdit(const std::string& reason) : ChangeRejected("invalid_edit", reason) {}

CatalogueTooLarge::CatalogueTooLarge()
    : ChangeRejected("catalogue_too_large", "the changed catalogue would exceed 1 MB") {}

}  // namespace cornelrelay::profile
