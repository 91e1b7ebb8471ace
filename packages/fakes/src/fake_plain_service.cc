#include "cornelrelay/fakes/fake_plain_service.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <fstream>
#include <map>
#include <nlohmann/json.hpp>
#include <optional>
#include <utility>

#include "cornelrelay/fakes/json_response.h"
#include "cornelrelay/net/http_server.h"

namespace cornelrelay::fakes {
namespace {

namespace asio = boost::asio;

}  // namespace

class FakePlainService::Impl {
 public:
  Impl(asio::io_context& context, PlainServiceOptions options)
      : m_context(context),
        m_options(std::move(options)),
        m_server(context, m_options.listen, {}, std::nullopt,
                 [this](net::HttpRequest request, net::ResponseStream& response) {
                   return Handle(std::move(request), response);
                 }) {}

  void Start() { m_server.Start(); }

 private:
  asio::awaitable<void> Handle(net::HttpRequest request, net::ResponseStream& response) {
    if (std::optional<net::HttpResponse> control = Control(request)) {
      co_await response.SendWhole(std::move(*control));
      co_return;
    }
    ++m_running;
    if (request.method == "POST") RecordEffect(request);
    asio::steady_timer timer(m_context, m_options.work_time);
    boost::system::error_code ec;
    co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ec));
    --m_running;
    net::HttpResponse answer = Answer(request);
    co_await response.SendWhole(std::move(answer));
  }

  std::optional<net::HttpResponse> Control(const net::HttpRequest& request) const {
    if (request.target == "/effects") return JsonResponse(200, {{"effects", m_effects}});
    if (request.target == "/load") {
      return JsonResponse(200, {{"running", m_running}, {"waiting", 0}, {"slots", 32}});
    }
    return std::nullopt;
  }

  // The effect is recorded before the answer, so a killed process has run the call though nobody
  // heard.
  void RecordEffect(const net::HttpRequest& request) {
    const auto key = net::FindHeader(request.headers, "Idempotency-Key").value_or(request.body);
    ++m_effects[key];
    if (m_options.ledger_file.empty()) return;
    std::ofstream ledger(m_options.ledger_file, std::ios::app);
    ledger << key << '\n';
  }

  net::HttpResponse Answer(const net::HttpRequest& request) const {
    net::HttpResponse answer = JsonResponse(200, {{"service", m_options.id},
                                                  {"method", request.method},
                                                  {"path", request.target},
                                                  {"echo", request.body}});
    if (const auto id = net::FindHeader(request.headers, "X-Request-Id")) {
      answer.headers["X-Request-Id"] = *id;
    }
    return answer;
  }

  asio::io_context& m_context;
  PlainServiceOptions m_options;
  std::map<std::string, int> m_effects;
  int m_running = 0;
  net::HttpServer m_server;
};

FakePlainService::FakePlainService(asio::io_context& context, PlainServiceOptions options)
    : m_impl(std::make_shared<Impl>(context, std::move(options))) {}

FakePlainService::~FakePlainService() = default;

void FakePlainService::Start() { m_impl->Start(); }

}  // namespace cornelrelay::fakes
