#pragma once

#include <string>
#include <string_view>

#include "cornelrelay/settings/common_settings.h"
#include "cornelrelay/settings/credential_digest.h"
#include "cornelrelay/settings/service_kind.h"
#include "table_reader.h"

namespace cornelrelay::settings::internal {

/// \brief Reads what both binaries need, except `listen.control`, whose section also holds
/// endpoints of the entry process alone.
CommonSettings ReadCommon(TableReader& root);

/// \brief Removes the own control endpoint, so that all processes can share one list of peers.
void RemoveOwnPeer(CommonSettings& common);

/// \brief Reads `<key>` (clear text) or `<key>_sha256` (64 hexadecimal digits); exactly one of
/// them.
CredentialDigest ReadCredential(TableReader& table, const std::string& key);

LogLevel ReadLogLevel(TableReader& table);

ServiceKind ReadServiceKind(TableReader& table);

/// \brief Path of a file named in the settings; adds a fault if it cannot be read.
std::string ReadFilePath(TableReader& table, std::string_view key);

}  // namespace cornelrelay::settings::internal
