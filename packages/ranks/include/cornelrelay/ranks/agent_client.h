#pragma once

#include <boost/asio/awaitable.hpp>
#include <chrono>
#include <functional>
#include <optional>

#include "cornelrelay/core/endpoint.h"
#include "cornelrelay/net/http_client.h"
#include "cornelrelay/telemetry/json_log.h"
#include "cornelrelay/wire/rank_messages.h"

namespace cornelrelay::ranks {

/// \brief Calls the agents beside the ranks of a group.
class AgentClient {
 public:
  /// \brief Handles a call to the agent of this process, without a connection.
  using LocalHandler = std::function<boost::asio::awaitable<wire::RankReply>(wire::RankCall)>;

  /// \param local_endpoint endpoint of the agent of this process
  /// \param timeout for calls to other agents
  AgentClient(net::HttpClient& client, core::Endpoint local_endpoint, LocalHandler local_handler,
              std::chrono::milliseconds timeout, telemetry::JsonLog& log);

  /// \return the reply; none if the call failed or timed out
  boost::asio::awaitable<std::optional<wire::RankReply>> Call(core::Endpoint agent,
                                                              wire::RankCall call);

 private:
  net::HttpClient& m_client;
  core::Endpoint m_local_endpoint;
  LocalHandler m_local_handler;
  std::chrono::milliseconds m_timeout;
  telemetry::JsonLog& m_log;
};

}  // namespace cornelrelay::ranks
