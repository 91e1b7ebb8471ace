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

/// \brief Calls to the agents beside the ranks of a group.
class AgentLink {
 public:
  /// \brief Handles a call to the agent of this process without a connection.
  using OwnAgent = std::function<boost::asio::awaitable<wire::RankReply>(wire::RankCall)>;

  /// \param own endpoint of the agent of this process
  AgentLink(net::HttpClient& client, core::Endpoint own, OwnAgent own_agent,
            std::chrono::milliseconds timeout, telemetry::JsonLog& log);

  /// \returns none without an answer in time
  boost::asio::awaitable<std::optional<wire::RankReply>> Call(core::Endpoint agent,
                                                              wire::RankCall call);

 private:
  net::HttpClient& m_client;
  core::Endpoint m_own;
  OwnAgent m_own_agent;
  std::chrono::milliseconds m_timeout;
  telemetry::JsonLog& m_log;
};

}  // namespace cornelrelay::ranks
