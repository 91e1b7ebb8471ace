#pragma once

#include <optional>
#include <string>
#include <variant>

#include "cornelrelay/core/ids.h"
#include "cornelrelay/directory/upstream_entry.h"
#include "cornelrelay/routes/configuration.h"

namespace cornelrelay::relay {

/// \brief The operators' configuration.
struct ConfigurationItem {
  routes::Configuration configuration;
};
/// \brief Registration of an upstream; none if it was removed.
struct UpstreamItem {
  core::UpstreamId id;
  std::optional<directory::UpstreamEntry> entry;
};
/// \brief An item that cannot be used. A registration that cannot be read names no upstream.
struct UnreadableItem {
  std::string reason;
  std::optional<core::UpstreamId> upstream;
};
/// \brief An item that entry processes have no use for.
struct UnrelatedItem {};

/// \brief What one item of the store means.
using FleetItem = std::variant<ConfigurationItem, UpstreamItem, UnreadableItem, UnrelatedItem>;

}  // namespace cornelrelay::relay
