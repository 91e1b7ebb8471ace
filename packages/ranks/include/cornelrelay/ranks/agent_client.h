#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <vector>

#include "cornelrelay/core/endpoint.h"
#include "cornelrelay/net/http_client.h"
#include "cornelrelay/ranks/forwarding.h"
#include "cornelrelay/ranks/group_call.h"
#include "cornelrelay/telemetry/json_log.h"
#include "cornelrelay/wire/rank_messages.h"

namespace cornelrelay::ranks {

/// \brief Calls the agents beside the ranks of a group.
class AgentClient {
 public:
  /// \brief Handles a call to the agent of this process, without a connection.
  using LocalHandler = std::function<boost::asio::awaitable<wire::RankReply>(wire::RankCall)>;

  /// \param local_endpoint endpoint of the agent of this process
  AgentClient(boost::asio::io_context& context, net::HttpClient& client,
              core::Endpoint local_endpoint, LocalHandler local_handler, telemetry::JsonLog& log);

  /// \return the reply; none if the call failed or timed out
  boost::asio::awaitable<std::optional<wire::RankReply>> Call(core::Endpoint agent,
                                                              wire::RankCall call,
                                                              std::chrono::milliseconds timeout);

  /// \brief Calls the first agent of each group, which passes the call on to the others.
  ///
  /// Agents pass a call on to a few others, which do the same. In a large group no agent then sends
  /// or receives more than a few messages, and counts are added up on their way.
  std::shared_ptr<GroupCall> StartGroupCall(const ForwardingGroups& groups,
                                            const wire::RankCall& call,
                                            std::chrono::milliseconds timeout);

  /// \brief Passes a received call on to the agents that it names.
  std::shared_ptr<GroupCall> Forward(const wire::RankCall& call);

 private:
  boost::asio::awaitable<void> CallGroup(std::vector<core::Endpoint> agents, wire::RankCall call,
                                         std::chrono::milliseconds timeout,
                                         std::shared_ptr<GroupCall> group_call);

  boost::asio::io_context& m_context;
  net::HttpClient& m_client;
  core::Endpoint m_local_endpoint;
  LocalHandler m_local_handler;
  telemetry::JsonLog& m_log;
};

}  // namespace cornelrelay::ranks
