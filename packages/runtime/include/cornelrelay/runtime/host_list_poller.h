#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <functional>
#include <vector>

#include "cornelrelay/core/endpoint.h"
#include "cornelrelay/core/random.h"
#include "cornelrelay/gossip/host_list_entry.h"
#include "cornelrelay/net/http_client.h"

namespace cornelrelay::runtime {

/// \brief Reads the platform's host list at a jittered interval.
///
/// \code
/// HostListPoller poller(context, client, endpoint, seed, [&](auto hosts) { ... });
/// poller.Start();
/// \endcode
class HostListPoller {
 public:
  using Handler = std::function<void(std::vector<gossip::HostListEntry>)>;

  HostListPoller(boost::asio::io_context& context, net::HttpClient& client, core::Endpoint list,
                 std::uint64_t seed, Handler handler);

  void Start();
  std::uint64_t failures() const { return m_failures; }

 private:
  boost::asio::awaitable<void> Run();
  boost::asio::awaitable<void> Poll();

  boost::asio::io_context& m_context;
  net::HttpClient& m_client;
  core::Endpoint m_list;
  core::Random m_random;
  Handler m_handler;
  std::uint64_t m_failures = 0;
};

}  // namespace cornelrelay::runtime
