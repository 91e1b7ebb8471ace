#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "cornelrelay/core/endpoint.h"
#include "cornelrelay/settings/account_settings.h"
#include "cornelrelay/settings/caller_timeouts.h"
#include "cornelrelay/settings/common_settings.h"
#include "cornelrelay/settings/credential_digest.h"
#include "cornelrelay/settings/service_settings.h"
#include "cornelrelay/settings/size_limits.h"
#include "cornelrelay/settings/tls_files.h"

namespace cornelrelay::settings {

/// \brief Settings of `cornelrelay serve`.
///
/// \code
/// const EntrySettings settings = LoadEntrySettings("entry.toml");
/// \endcode
struct EntrySettings {
  CommonSettings common;
  core::Endpoint callers;
  core::Endpoint admin;
  CredentialDigest operator_credential;
  SizeLimits limits;
  CallerTimeouts timeouts;
  std::optional<TlsFiles> tls;
  std::vector<AccountSettings> accounts;
  std::vector<ServiceSettings> services;

  friend bool operator==(const EntrySettings&, const EntrySettings&) = default;
};

/// \brief Parses TOML; throws InvalidSettings with all faults. `file` names the source in faults,
/// and relative paths in the settings start at its directory.
EntrySettings ParseEntrySettings(std::string_view text, const std::string& file);

/// \brief Reads and parses a file; throws InvalidSettings.
EntrySettings LoadEntrySettings(const std::string& file);

}  // namespace cornelrelay::settings
