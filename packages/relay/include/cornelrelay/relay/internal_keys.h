#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "cornelrelay/core/ids.h"

namespace cornelrelay::relay {

/// \brief Prefix of all store keys that cornelrelay processes write.
inline constexpr std::string_view kInternalKeyPrefix = "cornelrelay/";

/// \brief Store key under which an entry process registers the endpoint at which peers reach it.
std::string EntryProcessKey(const core::HostId& host);

/// \brief Returns the host in a key made by EntryProcessKey(), or nothing for any other key.
std::optional<core::HostId> HostOfEntryProcessKey(std::string_view key);

}  // namespace cornelrelay::relay
