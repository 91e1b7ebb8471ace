#pragma once

#include <chrono>
#include <map>
#include <optional>
#include <vector>

#include "cornelrelay/core/endpoint.h"
#include "cornelrelay/net/http_client.h"
#include "pooled_connection.h"

namespace cornelrelay::net::internal {

/// \brief Idle connections by peer.
class ConnectionPool {
 public:
  explicit ConnectionPool(const HttpClientLimits& limits) : m_limits(limits) {}

  /// \brief A connection that may be used now, or null.
  ConnectionPtr Take(const core::Endpoint& peer, HttpClient::ConnectionUse use);
  /// \param announced how long the peer keeps it, if it said so
  void Return(const core::Endpoint& peer, ConnectionPtr connection,
              std::optional<std::chrono::milliseconds> announced);
  void Forget(const core::Endpoint& peer) { m_idle.erase(peer); }

 private:
  HttpClientLimits m_limits;
  std::map<core::Endpoint, std::vector<ConnectionPtr>> m_idle;
};

}  // namespace cornelrelay::net::internal
