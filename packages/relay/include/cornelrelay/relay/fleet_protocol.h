#pragma once

#include "cornelrelay/relay/fleet_item.h"
#include "cornelrelay/store/item_change.h"

namespace cornelrelay::relay {

/// \brief Translates the store's items that others write.
class FleetProtocol {
 public:
  virtual ~FleetProtocol() = default;

  /// \brief Never throws: items come from many writers.
  virtual FleetItem Decode(const store::ItemChange& item) const = 0;
};

}  // namespace cornelrelay::relay
