#pragma once

#include <cstddef>
#include <string>
#include <string_view>
#include <unordered_map>

#include "cornelrelay/routes/configuration.h"

namespace cornelrelay::routes {

/// \brief An immutable configuration with look-ups by host and path, API key and service.
///
/// \code
/// const RouteTable table(configuration);
/// const Route* route = table.Match("shop.example:80", "/orders/7?x=1");
/// \endcode
class RouteTable {
 public:
  explicit RouteTable(Configuration configuration);
  RouteTable(const RouteTable&) = delete;
  RouteTable& operator=(const RouteTable&) = delete;

  /// \brief Returns the route of the host whose prefix is the longest one that matches the path, or
  /// null. A port in the host and a query in the target are ignored.
  const Route* Match(std::string_view host, std::string_view target) const;

  /// \brief Returns the account that the API key belongs to, or null.
  const AccountSpec* FindAccount(const std::string& key) const;

  /// \brief Chooses a service of a route in proportion to the weights.
  /// \param point a number in [0, 1), uniformly distributed
  static const core::ServiceId& ChooseService(const Route& route, double point);

  /// \brief Returns the service, or null if it is not configured.
  const ServiceSpec* FindService(const core::ServiceId& id) const;
  const Configuration& configuration() const { return m_configuration; }
  std::uint64_t version() const { return m_configuration.version; }

 private:
  Configuration m_configuration;
  /// Index of a route by its host and prefix, joined by a separator.
  std::unordered_map<std::string, std::size_t> m_by_prefix;
};

}  // namespace cornelrelay::routes
