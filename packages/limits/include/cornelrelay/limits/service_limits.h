#pragma once

#include <cstdint>
#include <map>

#include "cornelrelay/core/ids.h"

namespace cornelrelay::limits {

/// \brief Limits of one client account on one service, over all entry processes together.
///
/// 0 does not mean unlimited: a `concurrency` or `burst` of 0 refuses every request, a `rate` of 0
/// earns no tokens, and a `queue` of 0 queues no request.
struct AccountLimits {
  std::uint64_t concurrency = 0;  ///< requests running at once
  std::uint64_t rate = 0;         ///< requests per second
  std::uint64_t burst = 0;        ///< requests that may start at once: the size of the token bucket
  std::uint64_t queue = 0;        ///< queued requests

  friend bool operator==(const AccountLimits&, const AccountLimits&) = default;
};

/// \brief Limits of one service, over all entry processes together. A `concurrency` of 0 refuses
/// every request.
struct ServiceLimits {
  std::uint64_t concurrency = 0;  ///< requests running at once, of all accounts together
  AccountLimits account{};        ///< for each account without an entry in `overrides`
  std::map<core::ClientAccountId, AccountLimits> overrides{};

  /// \brief Returns the limits that apply to an account.
  const AccountLimits& ForAccount(const core::ClientAccountId& id) const {
    const auto found = overrides.find(id);
    return found == overrides.end() ? account : found->second;
  }

  friend bool operator==(const ServiceLimits&, const ServiceLimits&) = default;
};

}  // namespace cornelrelay::limits
