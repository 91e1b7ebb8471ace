#pragma once

#include <boost/asio/awaitable.hpp>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "cornelrelay/core/endpoint.h"
#include "cornelrelay/net/http_client.h"
#include "cornelrelay/ranks/engine_protocol.h"
#include "cornelrelay/telemetry/json_log.h"

namespace cornelrelay::ranks {

/// \brief Calls to engines, own or remote. A failed call gives no value and a line in the log.
class EngineLink {
 public:
  EngineLink(net::HttpClient& client, const EngineProtocol& protocol, telemetry::JsonLog& log)
      : m_client(client), m_protocol(protocol), m_log(log) {}

  /// \brief The report with the experts of the map in use.
  boost::asio::awaitable<std::optional<balance::RankReport>> Report(core::Endpoint engine);

  /// \brief How often each expert was chosen; empty after a failure.
  boost::asio::awaitable<std::vector<std::uint64_t>> Picks(core::Endpoint engine);

  boost::asio::awaitable<balance::OrderResult> Order(core::Endpoint engine,
                                                     balance::RankOrder order, std::uint64_t epoch,
                                                     balance::Fence fence);

 private:
  /// Experts change only with the map, so they are asked for once for each map.
  struct KnownExperts {
    std::uint64_t incarnation = 0;
    std::uint64_t epoch = 0;
    balance::MapVersion map = 0;
    std::vector<std::vector<std::uint16_t>> experts;
  };

  boost::asio::awaitable<std::optional<net::HttpResponse>> Fetch(core::Endpoint engine,
                                                                 net::HttpRequest request,
                                                                 std::chrono::milliseconds timeout);
  boost::asio::awaitable<void> AddExperts(core::Endpoint engine, balance::RankReport& report);

  net::HttpClient& m_client;
  const EngineProtocol& m_protocol;
  telemetry::JsonLog& m_log;
  std::map<core::Endpoint, KnownExperts> m_known;
};

}  // namespace cornelrelay::ranks
