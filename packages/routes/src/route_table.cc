#include "cornelrelay/routes/route_table.h"

#include <algorithm>
#include <cassert>
#include <cctype>
#include <utility>

namespace cornelrelay::routes {
namespace {

/// Separates host and prefix in the keys; a host cannot contain it.
constexpr char kSeparator = ' ';

std::string HostName(std::string_view host) {
  const auto colon = host.rfind(':');
  std::string name(host.substr(0, colon));
  std::transform(name.begin(), name.end(), name.begin(),
                 [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
  return name;
}

}  // namespace

RouteTable::RouteTable(Configuration configuration) : m_configuration(std::move(configuration)) {
  const auto& routes = m_configuration.routes;
  m_by_prefix.reserve(routes.size());
  for (std::size_t i = 0; i < routes.size(); ++i) {
    m_by_prefix.emplace(HostName(routes[i].host) + kSeparator + routes[i].prefix, i);
  }
}

const Route* RouteTable::Match(std::string_view host, std::string_view target) const {
  std::string_view path = target.substr(0, target.find_first_of("?#"));
  std::string key = HostName(host) + kSeparator;
  const std::size_t name_size = key.size();
  key.append(path);
  // Prefixes end with a slash, so only the parts of the path up to each slash can match. The
  // longest one is tried first.
  while (true) {
    const auto slash = key.rfind('/');
    if (slash == std::string::npos || slash < name_size) return nullptr;
    key.resize(slash + 1);
    const auto found = m_by_prefix.find(key);
    if (found != m_by_prefix.end()) return &m_configuration.routes[found->second];
    key.resize(slash);
  }
}

const AccountSpec* RouteTable::FindAccount(const std::string& key) const {
  const auto found = m_configuration.api_keys.find(key);
  if (found == m_configuration.api_keys.end()) return nullptr;
  return &m_configuration.accounts[found->second];
}

const core::ServiceId& RouteTable::ChooseService(const Route& route, double point) {
  assert(!route.services.empty());
  double total = 0;
  for (const auto& part : route.services) total += part.weight;
  double left = point * total;
  for (const auto& part : route.services) {
    if (left < part.weight) return part.service;
    left -= part.weight;
  }
  return route.services.back().service;
}

const ServiceSpec* RouteTable::FindService(const core::ServiceId& id) const {
  const auto found = m_configuration.services.find(id);
  return found == m_configuration.services.end() ? nullptr : &found->second;
}

}  // namespace cornelrelay::routes
