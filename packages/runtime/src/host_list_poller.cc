#include "cornelrelay/runtime/host_list_poller.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <chrono>
#include <nlohmann/json.hpp>
#include <string>
#include <utility>

#include "cornelrelay/core/invalid_endpoint.h"
#include "cornelrelay/net/errors.h"
#include "cornelrelay/net/rethrow_failure.h"

namespace cornelrelay::runtime {
namespace {

namespace asio = boost::asio;

/// The list itself lags by 30 s, so reading it more often gains nothing.
constexpr std::chrono::milliseconds kShortestInterval{8000};
constexpr std::uint64_t kJitterMs = 4000;
constexpr std::chrono::milliseconds kTimeout{2000};

std::vector<gossip::HostListEntry> ParseHosts(const std::string& body) {
  std::vector<gossip::HostListEntry> hosts;
  const auto list = nlohmann::json::parse(body);
  for (const auto& entry : list.at("hosts")) {
    gossip::HostListEntry host;
    host.host = core::HostId(entry.at("host").get<std::string>());
    host.role = entry.at("role").get<std::string>() == "agent" ? gossip::Role::kAgent
                                                               : gossip::Role::kEntry;
    host.data_centre = core::DataCentreId(entry.at("data_centre").get<std::string>());
    host.control = core::ParseEndpoint(entry.at("control").get<std::string>());
    host.leaving = entry.value("leaving", false);
    hosts.push_back(std::move(host));
  }
  return hosts;
}

}  // namespace

HostListPoller::HostListPoller(asio::io_context& context, net::HttpClient& client,
                               core::Endpoint list, std::uint64_t seed, Handler handler)
    : m_context(context),
      m_client(client),
      m_list(std::move(list)),
      m_random(seed),
      m_handler(std::move(handler)) {}

void HostListPoller::Start() {
  asio::co_spawn(
      m_context, [this] { return Run(); }, net::RethrowFailure{});
}

asio::awaitable<void> HostListPoller::Run() {
  asio::steady_timer timer(m_context);
  while (true) {
    co_await Poll();
    timer.expires_after(kShortestInterval + std::chrono::milliseconds(m_random.Below(kJitterMs)));
    boost::system::error_code ec;
    co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ec));
    if (ec) co_return;
  }
}

asio::awaitable<void> HostListPoller::Poll() {
  net::HttpRequest request;
  request.method = "GET";
  request.target = "/hosts";
  try {
    const net::HttpResponse response =
        co_await m_client.Fetch(m_list, std::move(request), kTimeout);
    m_handler(ParseHosts(response.body));
  } catch (const core::Error&) {
    ++m_failures;
  } catch (const nlohmann::json::exception&) {
    ++m_failures;
  }
}

}  // namespace cornelrelay::runtime
