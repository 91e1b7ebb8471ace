#pragma once

#include <compare>
#include <cstdint>

#include "cornelrelay/store/store_request.h"

namespace cornelrelay::store {

/// \brief How often the store has been restored from an older copy; 0 for stores that do not say.
using StoreEra = std::uint64_t;

/// \brief A state of the whole store.
///
/// Within an era, revisions only increase. A restore loses the last changes and gives their
/// revisions out again, so revisions of different eras must not be compared.
struct StoreVersion {
  StoreEra era = 0;
  StoreRevision revision = 0;

  friend auto operator<=>(const StoreVersion&, const StoreVersion&) = default;
};

}  // namespace cornelrelay::store
