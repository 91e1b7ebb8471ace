#include "connection_pool.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/error.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <iterator>
#include <utility>

namespace cornelrelay::net::internal {
namespace {

using SteadyClock = std::chrono::steady_clock;

/// Time between two searches for expired connections.
constexpr std::chrono::seconds kSweepInterval{1};

// An idle connection with readable bytes was closed by the peer or is out of step.
bool IsQuiet(PooledConnection& connection) {
  if (connection.buffer.size() != 0) return false;
  boost::system::error_code ec;
  auto& socket = connection.stream.socket();
  socket.non_blocking(true, ec);
  char byte = 0;
  socket.receive(boost::asio::buffer(&byte, 1), boost::asio::ip::tcp::socket::message_peek, ec);
  return ec == boost::asio::error::would_block;
}

}  // namespace

ConnectionPtr ConnectionPool::Take(const core::Endpoint& peer, HttpClient::ConnectionUse use) {
  const auto now = SteadyClock::now();
  CloseExpired(now);
  auto& idle = m_idle[peer];
  while (!idle.empty()) {
    ConnectionPtr connection = std::move(idle.back());
    idle.pop_back();
    if (now >= connection->usable_until || !IsQuiet(*connection)) continue;
    const bool recent = now - connection->idle_since < m_limits.recent_idle_time;
    if (use == HttpClient::ConnectionUse::kReuse || recent) return connection;
  }
  return nullptr;
}

void ConnectionPool::Return(const core::Endpoint& peer, ConnectionPtr connection,
                            std::optional<std::chrono::milliseconds> announced) {
  connection->idle_since = SteadyClock::now();
  connection->usable_until = connection->idle_since + announced.value_or(m_limits.idle_time);
  CloseExpired(connection->idle_since);
  auto& idle = m_idle[peer];
  std::erase_if(idle, [&](const ConnectionPtr& other) {
    return connection->idle_since >= other->usable_until;
  });
  if (idle.size() < m_limits.idle_connections_per_peer) idle.push_back(std::move(connection));
}

void ConnectionPool::CloseExpired(TimePoint now) {
  if (now < m_next_sweep) return;
  m_next_sweep = now + kSweepInterval;
  for (auto peer = m_idle.begin(); peer != m_idle.end();) {
    std::erase_if(peer->second, [now](const ConnectionPtr& connection) {
      return now >= connection->usable_until;
    });
    peer = peer->second.empty() ? m_idle.erase(peer) : std::next(peer);
  }
}

std::size_t ConnectionPool::size() const {
  std::size_t size = 0;
  for (const auto& [peer, idle] : m_idle) size += idle.size();
  return size;
}

}  // namespace cornelrelay::net::internal
