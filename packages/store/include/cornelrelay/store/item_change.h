#pragma once

#include <compare>
#include <optional>
#include <string>

#include "cornelrelay/store/store_request.h"

namespace cornelrelay::store {

/// \brief The state of one key as of a revision; no value if it was deleted then.
struct ItemChange {
  std::string key;
  std::optional<std::string> value;
  StoreRevision revision = 0;

  friend auto operator<=>(const ItemChange&, const ItemChange&) = default;
};

}  // namespace cornelrelay::store
