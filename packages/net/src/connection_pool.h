#pragma once

#include <chrono>
#include <cstddef>
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
  /// \brief Returns the number of idle connections to all peers.
  std::size_t size() const;

 private:
  using TimePoint = PooledConnection::TimePoint;

  /// \brief Closes the connections to all peers that are over their time, at most once a second.
  /// Nothing else closes those to a peer that is not called any more.
  void CloseExpired(TimePoint now);

  HttpClientLimits m_limits;
  std::map<core::Endpoint, std::vector<ConnectionPtr>> m_idle;
  TimePoint m_next_sweep{};
};

}  // namespace cornelrelay::net::internal
