#pragma once

#include <cstddef>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "cornelrelay/core/endpoint.h"
#include "cornelrelay/core/ids.h"
#include "cornelrelay/limits/retry_budget.h"
#include "cornelrelay/profile/catalogue.h"
#include "cornelrelay/routing/replica_router.h"
#include "cornelrelay/settings/service_settings.h"

namespace cornelrelay::entry {

/// \brief What an entry process keeps for one service: its router, retry budget and upstream
/// addresses.
class ServiceRuntime {
 public:
  ServiceRuntime(settings::ServiceSettings service, routing::RouterConfig router);

  const settings::ServiceSettings& settings() const { return m_settings; }
  routing::ReplicaRouter& router() { return m_router; }
  const routing::ReplicaRouter& router() const { return m_router; }
  limits::RetryBudget& retry_budget() { return m_retry_budget; }
  const limits::RetryBudget& retry_budget() const { return m_retry_budget; }

  /// \brief The profile assigned in the catalogue, else the one that the settings name, else the
  /// default.
  const profile::Profile& ProfileIn(const profile::Catalogue& catalogue) const;

  /// \brief Takes over the fields of a profile that the router and the retry budget use.
  void Apply(core::Instant now, const profile::Profile& profile);

  /// \throws std::out_of_range for an upstream that is not of this service
  const core::Endpoint& EndpointOf(const core::UpstreamId& upstream) const;

 private:
  settings::ServiceSettings m_settings;
  routing::ReplicaRouter m_router;
  limits::RetryBudget m_retry_budget;
  std::map<core::UpstreamId, core::Endpoint> m_endpoints;
};

}  // namespace cornelrelay::entry
