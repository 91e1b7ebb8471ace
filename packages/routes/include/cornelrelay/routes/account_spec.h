#pragma once

#include <cstdint>
#include <optional>

#include "cornelrelay/core/ids.h"

namespace cornelrelay::routes {

/// \brief A client account as configured.
struct AccountSpec {
  core::ClientAccountId id;
  std::optional<std::uint8_t> priority;  ///< replaces the priority of the route

  friend bool operator==(const AccountSpec&, const AccountSpec&) = default;
};

}  // namespace cornelrelay::routes
