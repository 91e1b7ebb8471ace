#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "cornelrelay/core/ids.h"

namespace cornelrelay::relay {

/// \brief Prefix of all keys that own processes write.
inline constexpr std::string_view kOwnPrefix = "cornelrelay/";

/// \brief Key under which an entry process registers its endpoint for its peers.
std::string EntryProcessKey(const core::HostId& host);

/// \brief The host of a key made by EntryProcessKey().
std::optional<core::HostId> HostOfEntryProcessKey(std::string_view key);

}  // namespace cornelrelay::relay
