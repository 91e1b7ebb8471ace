#pragma once

#include <compare>
#include <cstdint>
#include <string_view>
#include <vector>

#include "cornelrelay/core/ids.h"
#include "cornelrelay/core/time.h"
#include "cornelrelay/profile/call_pattern.h"
#include "cornelrelay/profile/priority.h"

namespace cornelrelay::profile {

/// \brief How the calls of a service are treated.
struct RequestPolicy {
  core::Duration deadline = std::chrono::seconds(30);  ///< when the caller names none; upper limit
  Priority priority = Priority::kNormal;
  bool all_idempotent = false;
  std::vector<CallPattern> idempotent_calls;  ///< ignored when all are idempotent
  bool key_required = false;                  ///< refuse non-idempotent calls without a key

  friend auto operator<=>(const RequestPolicy&, const RequestPolicy&) = default;
};

/// \brief Further attempts at one request.
struct RetryPolicy {
  std::uint32_t attempts = 2;  ///< in all, with the first one and hedges
  std::uint32_t hedges = 0;    ///< attempts that may run beside a slow one
  double budget_ratio = 0.1;   ///< retries and hedges over all requests of the service

  friend auto operator<=>(const RetryPolicy&, const RetryPolicy&) = default;
};

/// \brief Limits of each client account, over all entry processes together.
struct AccountLimits {
  std::uint32_t concurrency = 100;
  double rate_per_s = 200;
  std::uint32_t queue = 200;

  friend auto operator<=>(const AccountLimits&, const AccountLimits&) = default;
};

/// \brief Choice of an upstream.
struct RoutingPolicy {
  bool prefix_affinity = false;
  double affinity_load_bound = 1.25;  ///< affinity yields above this multiple of the mean load
  double spill_over_load = 0.85;      ///< own data centre's load above which others are used

  friend auto operator<=>(const RoutingPolicy&, const RoutingPolicy&) = default;
};

/// \brief Placement of experts: 1 looks at step-time skew only, 0 at the cost of moves only.
struct RebalancingPolicy {
  double skew_weight = 0.5;

  friend auto operator<=>(const RebalancingPolicy&, const RebalancingPolicy&) = default;
};

/// \brief A named set of rules under which services run.
///
/// \code
/// const Profile& profile = catalogue.ProfileOf(service);
/// if (profile.IsIdempotent("GET", "/stock/17")) ...
/// \endcode
struct Profile {
  core::ProfileName name;
  RequestPolicy request;
  RetryPolicy retry;
  AccountLimits account;
  RoutingPolicy routing;
  RebalancingPolicy rebalancing;

  bool IsIdempotent(std::string_view method, std::string_view path) const;

  friend auto operator<=>(const Profile&, const Profile&) = default;
};

}  // namespace cornelrelay::profile
