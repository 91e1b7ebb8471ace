#pragma once

#include <cstdint>
#include <optional>

#include "cornelrelay/core/ids.h"
#include "cornelrelay/core/time.h"
#include "cornelrelay/relay/relay_request.h"
#include "cornelrelay/routes/account_spec.h"
#include "cornelrelay/routes/route.h"

namespace cornelrelay::relay {

/// \brief A caller's request with its route, service and account from the configuration.
struct RoutedRequest {
  RelayRequest request;
  routes::Route route;
  core::ServiceId service;
  std::optional<routes::AccountSpec> account;  ///< empty on public routes
  std::uint64_t configuration_version = 0;
  core::Instant arrived;
  core::Instant deadline;  ///< the earlier of the caller's deadline and the route's timeout

  /// \brief Returns the account's priority if it has one, otherwise the route's.
  std::uint8_t Priority() const {
    return account && account->priority ? *account->priority : route.priority;
  }

  friend bool operator==(const RoutedRequest&, const RoutedRequest&) = default;
};

}  // namespace cornelrelay::relay
