#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "cornelrelay/routes/account_spec.h"
#include "cornelrelay/routes/caller_limits.h"
#include "cornelrelay/routes/route.h"
#include "cornelrelay/routes/service_spec.h"

namespace cornelrelay::routes {

/// \brief One version of the operators' configuration.
struct Configuration {
  std::uint64_t version = 0;
  std::vector<Route> routes;
  std::map<core::ServiceId, ServiceSpec> services;
  std::vector<AccountSpec> accounts;
  std::map<std::string, std::size_t> api_keys;  ///< maps an API key to an index in `accounts`
  bool requires_api_keys = false;  ///< whether routes that are not public require a key
  CallerLimits limits;

  friend bool operator==(const Configuration&, const Configuration&) = default;
};

}  // namespace cornelrelay::routes
