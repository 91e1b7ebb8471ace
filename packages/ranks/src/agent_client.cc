#include "cornelrelay/ranks/agent_client.h"

#include <cstddef>
#include <utility>

#include "cornelrelay/core/error.h"
#include "cornelrelay/core/http_status.h"

namespace cornelrelay::ranks {
namespace {

namespace asio = boost::asio;

constexpr std::size_t kMaxReplyBytes = 1'048'576;

}  // namespace

AgentClient::AgentClient(net::HttpClient& client, core::Endpoint local_endpoint,
                         LocalHandler local_handler, std::chrono::milliseconds timeout,
                         telemetry::JsonLog& log)
    : m_client(client),
      m_local_endpoint(std::move(local_endpoint)),
      m_local_handler(std::move(local_handler)),
      m_timeout(timeout),
      m_log(log) {}

asio::awaitable<std::optional<wire::RankReply>> AgentClient::Call(core::Endpoint agent,
                                                                  wire::RankCall call) {
  std::optional<wire::RankReply> reply;
  if (agent == m_local_endpoint) {
    reply = co_await m_local_handler(std::move(call));
    co_return reply;
  }
  net::HttpRequest request;
  request.method = "POST";
  request.target = "/rank";
  request.body = wire::Encode(call);
  try {
    const net::HttpResponse response =
        co_await m_client.Fetch(agent, std::move(request), m_timeout, kMaxReplyBytes,
                                net::HttpClient::ConnectionUse::kReuse);
    if (response.status == core::kStatusOk) reply = wire::DecodeRankReply(response.body);
  } catch (const core::Error& error) {
    m_log.Debug("agent_call_failed", {{"agent", core::ToString(agent)}, {"reason", error.what()}});
  }
  co_return reply;
}

}  // namespace cornelrelay::ranks
