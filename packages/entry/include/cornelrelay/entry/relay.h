#pragma once

#include <boost/asio/awaitable.hpp>
#include <cstddef>
#include <vector>

#include "cornelrelay/core/endpoint.h"
#include "cornelrelay/core/ids.h"
#include "cornelrelay/net/http_client.h"
#include "cornelrelay/net/response_stream.h"

namespace cornelrelay::entry {

/// \brief Passes requests to upstreams in turn and relays their answers.
class Relay {
 public:
  Relay(net::HttpClient& client, std::vector<core::Endpoint> upstreams);

  boost::asio::awaitable<void> Serve(net::HttpRequest request, net::ResponseStream& response);

 private:
  boost::asio::awaitable<void> Forward(const core::RequestId& id, net::HttpRequest request,
                                       net::ResponseStream& response);

  net::HttpClient& m_client;
  std::vector<core::Endpoint> m_upstreams;
  std::size_t m_next = 0;
};

}  // namespace cornelrelay::entry
