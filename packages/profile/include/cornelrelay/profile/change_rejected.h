#pragma once

#include <string>
#include <vector>

#include "cornelrelay/core/error.h"
#include "cornelrelay/core/ids.h"
#include "cornelrelay/profile/profile_check.h"

namespace cornelrelay::profile {

/// \brief Base of the reasons for which an edit cannot be made on a catalogue.
class ChangeRejected : public core::Error {
 public:
  using core::Error::Error;
};

class UnknownProfile : public ChangeRejected {
 public:
  explicit UnknownProfile(const core::ProfileName& name);
};

class ProfileExists : public ChangeRejected {
 public:
  explicit ProfileExists(const core::ProfileName& name);
};

/// \brief A profile with services is retired without force.
class ProfileInUse : public ChangeRejected {
 public:
  ProfileInUse(const core::ProfileName& name, std::vector<core::ServiceId> services);

  const std::vector<core::ServiceId>& services() const { return m_services; }

 private:
  std::vector<core::ServiceId> m_services;
};

/// \brief The default profile is retired; another one must become the default before.
class DefaultProfileInUse : public ChangeRejected {
 public:
  explicit DefaultProfileInUse(const core::ProfileName& name);
};

/// \brief The edit has values that no document could have.
class InvalidEdit : public ChangeRejected {
 public:
  explicit InvalidEdit(const std::string& reason);
};

/// \brief The changed catalogue exceeds the store's value size.
class CatalogueTooLarge : public ChangeRejected {
 public:
  CatalogueTooLarge();
};

}  // namespace cornelrelay::profile
