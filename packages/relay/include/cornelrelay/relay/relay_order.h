#pragma once

#include <cstdint>
#include <optional>

#include "cornelrelay/core/ids.h"
#include "cornelrelay/core/time.h"
#include "cornelrelay/relay/relay_request.h"
#include "cornelrelay/routes/account_spec.h"
#include "cornelrelay/routes/route.h"

namespace cornelrelay::relay {

/// \brief A request with what the configuration says of it.
struct RelayOrder {
  RelayRequest request;
  routes::Route route;
  core::ServiceId service;
  std::optional<routes::AccountSpec> account;  ///< none on public routes
  std::uint64_t configuration_version = 0;
  core::Instant arrived;
  core::Instant answer_by;  ///< the earlier one of the caller's deadline and the route's timeout

  std::uint8_t Priority() const {
    return account && account->priority ? *account->priority : route.priority;
  }

  friend bool operator==(const RelayOrder&, const RelayOrder&) = default;
};

}  // namespace cornelrelay::relay
