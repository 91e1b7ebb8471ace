#include "cornelrelay/ranks/agent_client.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <cstddef>
#include <utility>

#include "cornelrelay/core/error.h"
#include "cornelrelay/core/http_status.h"
#include "cornelrelay/net/rethrow_failure.h"

namespace cornelrelay::ranks {
namespace {

namespace asio = boost::asio;
using std::chrono::milliseconds;

constexpr std::size_t kMaxReplyBytes = 1'048'576;

}  // namespace

AgentClient::AgentClient(asio::io_context& context, net::HttpClient& client,
                         core::Endpoint local_endpoint, LocalHandler local_handler,
                         telemetry::JsonLog& log)
    : m_context(context),
      m_client(client),
      m_local_endpoint(std::move(local_endpoint)),
      m_local_handler(std::move(local_handler)),
      m_log(log) {}

asio::awaitable<std::optional<wire::RankReply>> AgentClient::Call(core::Endpoint agent,
                                                                  wire::RankCall call,
                                                                  milliseconds timeout) {
  std::optional<wire::RankReply> reply;
  if (agent == m_local_endpoint) {
    reply = co_await m_local_handler(std::move(call));
    co_return reply;
  }
  net::HttpRequest request;
  request.method = "POST";
  request.target = "/rank";
  try {
    request.body = wire::Encode(call);
    const net::HttpResponse response = co_await m_client.Fetch(
        agent, std::move(request), timeout, kMaxReplyBytes, net::HttpClient::ConnectionUse::kReuse);
    if (response.status == core::kStatusOk) reply = wire::DecodeRankReply(response.body);
  } catch (const core::Error& error) {
    m_log.Debug("agent_call_failed", {{"agent", core::ToString(agent)}, {"reason", error.what()}});
  }
  co_return reply;
}

std::shared_ptr<GroupCall> AgentClient::StartGroupCall(const ForwardingGroups& groups,
                                                       const wire::RankCall& call,
                                                       milliseconds timeout) {
  auto group_call = std::make_shared<GroupCall>(m_context, groups.size());
  for (const std::vector<core::Endpoint>& agents : groups) {
    asio::co_spawn(
        m_context,
        [this, agents, call, timeout, group_call] {
          return CallGroup(agents, call, timeout, group_call);
        },
        net::RethrowFailure{});
  }
  return group_call;
}

std::shared_ptr<GroupCall> AgentClient::Forward(const wire::RankCall& call) {
  wire::RankCall forwarded = call;
  forwarded.forward_to.clear();
  const bool in_time = call.forward_time > milliseconds::zero();
  const ForwardingGroups groups =
      in_time ? SplitForForwarding(call.forward_to, kForwardingFanOut) : ForwardingGroups{};
  return StartGroupCall(groups, forwarded, call.forward_time);
}

asio::awaitable<void> AgentClient::CallGroup(std::vector<core::Endpoint> agents,
                                             wire::RankCall call, milliseconds timeout,
                                             std::shared_ptr<GroupCall> group_call) {
  const core::Endpoint first = agents.front();
  call.forward_to.assign(agents.begin() + 1, agents.end());
  call.forward_time = std::max(timeout - call.hop_time, milliseconds::zero());
  std::optional<wire::RankReply> reply = co_await Call(first, std::move(call), timeout);
  group_call->End(first, std::move(reply));
}

}  // namespace cornelrelay::ranks
