#include "cornelrelay/entry/service_runtime.h"

#include <algorithm>
#include <utility>

namespace cornelrelay::entry {
namespace {

constexpr double kPermille = 1000;
/// Keeps all attempts under 1.1 times the requests, whatever the profile asks for.
constexpr std::uint64_t kMostRetries = 80;

}  // namespace

ServiceRuntime::ServiceRuntime(settings::ServiceSettings service, routing::RouterConfig router)
    : m_settings(std::move(service)), m_router(std::move(router)) {
  for (const auto& upstream : m_settings.upstreams) {
    m_endpoints.emplace(upstream.id, upstream.endpoint);
  }
}

const profile::Profile& ServiceRuntime::ProfileIn(const profile::Catalogue& catalogue) const {
  if (!catalogue.content().services.contains(m_settings.id)) {
    const profile::Profile* named = catalogue.Find(m_settings.profile);
    if (named != nullptr) return *named;
  }
  return catalogue.ProfileOf(m_settings.id);
}

void ServiceRuntime::Apply(core::Instant now, const profile::Profile& profile) {
  m_router.Step(now, routing::AffinityBoundChanged{profile.routing.affinity_load_bound});
  m_retry_budget.SetPermille(
      std::min(kMostRetries, static_cast<std::uint64_t>(profile.retry.budget_ratio * kPermille)));
}

const core::Endpoint& ServiceRuntime::EndpointOf(const core::UpstreamId& upstream) const {
  return m_endpoints.at(upstream);
}

}  // namespace cornelrelay::entry
