#include "cornelrelay/fakes/fake_host_list.h"

#include <boost/asio/awaitable.hpp>
#include <deque>
#include <nlohmann/json.hpp>
#include <utility>

#include "cornelrelay/fakes/json_response.h"
#include "cornelrelay/net/http_server.h"

namespace cornelrelay::fakes {

class FakeHostList::Impl {
 public:
  Impl(boost::asio::io_context& context, const core::Endpoint& listen,
       std::chrono::milliseconds lag)
      : m_lag(lag),
        m_server(context, listen, {}, std::nullopt,
                 [this](net::HttpRequest request, net::ResponseStream& response) {
                   return Handle(std::move(request), response);
                 }) {}

  void Start() { m_server.Start(); }

 private:
  struct Version {
    std::chrono::steady_clock::time_point set_at;
    std::string body;
  };

  boost::asio::awaitable<void> Handle(net::HttpRequest request, net::ResponseStream& response) {
    net::HttpResponse answer = Answer(request);
    co_await response.SendWhole(std::move(answer));
  }

  net::HttpResponse Answer(const net::HttpRequest& request) {
    if (request.target != "/hosts") return JsonResponse(404, {{"error", "unknown path"}});
    const auto now = std::chrono::steady_clock::now();
    if (request.method == "POST") {
      m_versions.push_back({now, request.body});
      return JsonResponse(200, {{"ok", true}});
    }
    while (m_versions.size() > 1 && m_versions[1].set_at + m_lag <= now) m_versions.pop_front();
    net::HttpResponse response;
    response.headers["Content-Type"] = "application/json";
    // The first list is not late, so that a deployment can start.
    response.body = m_versions.empty() ? R"({"hosts":[]})" : m_versions.front().body;
    return response;
  }

  std::chrono::milliseconds m_lag;
  std::deque<Version> m_versions;
  net::HttpServer m_server;
};

FakeHostList::FakeHostList(boost::asio::io_context& context, const core::Endpoint& listen,
                           std::chrono::milliseconds lag)
    : m_impl(std::make_shared<Impl>(context, listen, lag)) {}

FakeHostList::~FakeHostList() = default;

void FakeHostList::Start() { m_impl->Start(); }

}  // namespace cornelrelay::fakes
