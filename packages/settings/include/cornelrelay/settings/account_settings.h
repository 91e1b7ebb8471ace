#pragma once

#include "cornelrelay/core/ids.h"
#include "cornelrelay/settings/credential_digest.h"

namespace cornelrelay::settings {

struct AccountSettings {
  core::ClientAccountId id;
  CredentialDigest api_key;

  friend bool operator==(const AccountSettings&, const AccountSettings&) = default;
};

}  // namespace cornelrelay::settings
