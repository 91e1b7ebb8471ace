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
/// \brief Registration of an upstream. Has no entry if the registration was removed.
struct UpstreamItem {
  core::UpstreamId id;
  std::optional<directory::UpstreamEntry> entry;
};
/// \brief An operator's order to send nothing to the upstreams of a data centre, or its removal.
struct EvacuationItem {
  core::DataCentreId data_centre;
  bool active = false;
};
/// \brief An item that cannot be decoded. `upstream` is set if the item is a registration: that
/// upstream must no longer be used.
struct UnreadableItem {
  std::string reason;
  std::optional<core::UpstreamId> upstream;
};
/// \brief An item that entry processes ignore.
struct UnrelatedItem {};

/// \brief Decoded content of one store item.
using FleetItem =
    std::variant<ConfigurationItem, UpstreamItem, EvacuationItem, UnreadableItem, UnrelatedItem>;

}  // namespace cornelrelay::relay
