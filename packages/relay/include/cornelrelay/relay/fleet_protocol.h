#pragma once

#include <string>

#include "cornelrelay/relay/fleet_item.h"
#include "cornelrelay/store/item_change.h"

namespace cornelrelay::relay {

/// \brief Decodes the store items that operators and upstreams write.
class FleetProtocol {
 public:
  virtual ~FleetProtocol() = default;

  /// \brief Key of the operators' configuration.
  virtual std::string ConfigurationKey() const = 0;
  /// \brief Prefix of the keys of all upstreams' registrations.
  virtual std::string UpstreamsPrefix() const = 0;

  /// \brief Decodes one item. Returns UnreadableItem instead of throwing, because the items come
  /// from many writers and one bad item must not affect the others.
  virtual FleetItem Decode(const store::ItemChange& item) const = 0;
};

}  // namespace cornelrelay::relay
