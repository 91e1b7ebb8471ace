#pragma once

#include <cstdint>
#include <map>

#include "cornelrelay/core/ids.h"

namespace cornelrelay::limits {

/// \brief Limits of one client account on one service, over all entry processes together.
struct AccountLimits {
  std::uint64_t concurrency = 0;
  std::uint64_t rate = 0;   ///< requests per second
  std::uint64_t burst = 0;  ///< requests above the rate at once
  std::uint64_t queue = 0;  ///< waiting requests

  friend bool operator==(const AccountLimits&, const AccountLimits&) = default;
};

/// \brief Limits of one service, over all entry processes together.
struct ServiceLimits {
  std::uint64_t concurrency = 0;  ///< of all accounts
  AccountLimits account{};        ///< of each account without an entry below
  std::map<core::ClientAccountId, AccountLimits> overrides{};

  const AccountLimits& Of(const core::ClientAccountId& id) const {
    const auto found = overrides.find(id);
    return found == overrides.end() ? account : found->second;
  }

  friend bool operator==(const ServiceLimits&, const ServiceLimits&) = default;
};

}  // namespace cornelrelay::limits
