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

/// \brief Calls engines, the local one or those of other hosts. A failed call is logged and returns
/// no value.
class EngineClient {
 public:
  EngineClient(net::HttpClient& client, const EngineProtocol& protocol, telemetry::JsonLog& log)
      : m_client(client), m_protocol(protocol), m_log(log) {}

  /// \brief Fetches the report, with the experts of the map in use if they can be fetched.
  boost::asio::awaitable<std::optional<balance::RankReport>> FetchReport(core::Endpoint engine);

  /// \brief Fetches how often each expert was chosen since the engine's start; empty after a
  /// failure.
  boost::asio::awaitable<std::vector<std::uint64_t>> FetchExpertCounts(core::Endpoint engine);

  /// \brief Sends an order and returns its result, or `kUnknown` if the engine does not answer.
  /// For ObserveRank, returns `kDone` without a call.
  boost::asio::awaitable<balance::OrderResult> IssueOrder(core::Endpoint engine,
                                                          balance::RankOrder order,
                                                          std::uint64_t epoch,
                                                          balance::Fence fence);

 private:
  /// Experts change only with the map, so they are fetched once per map.
  struct CachedExperts {
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
  std::map<core::Endpoint, CachedExperts> m_cached_experts;
};

}  // namespace cornelrelay::ranks
