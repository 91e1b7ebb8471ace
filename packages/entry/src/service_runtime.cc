#include "cornelrelay/entry/service_runtime.h"

#include <utility>

namespace cornelrelay::entry {

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

const core::Endpoint& ServiceRuntime::EndpointOf(const core::UpstreamId& upstream) const {
  return m_endpoints.at(upstream);
}

}  // namespace cornelrelay::entry
