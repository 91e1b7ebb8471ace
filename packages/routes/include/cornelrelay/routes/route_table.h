#pragma once

#include <cstddef>
#include <string>
#include <string_view>
#include <unordered_map>

#include "cornelrelay/routes/configuration.h"

namespace cornelrelay::routes {

/// \brief A configuration with its look-ups.
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

  /// \brief The route of the host with the longest prefix that begins the path, or null.
  const Route* Match(std::string_view host, std::string_view target) const;

  /// \brief The account that holds the key, or null.
  const AccountSpec* FindAccount(const std::string& key) const;

  /// \brief The service of a route at a point of [0, 1), in proportion to the weights.
  static const core::ServiceId& ChooseService(const Route& route, double point);

  const ServiceSpec* FindService(const core::ServiceId& id) const;
  const Configuration& configuration() const { return m_configuration; }
  std::uint64_t version() const { return m_configuration.version; }

 private:
  Configuration m_configuration;
  std::unordered_map<std::string, std::size_t> m_by_prefix;  ///< host followed by prefix
};

}  // namespace cornelrelay::routes
