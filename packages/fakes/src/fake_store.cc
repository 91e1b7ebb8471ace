#include "cornelrelay/fakes/fake_store.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <chrono>
#include <map>
#include <nlohmann/json.hpp>
#include <optional>
#include <utility>

#include "cornelrelay/fakes/json_response.h"
#include "cornelrelay/net/http_server.h"
#include "cornelrelay/store/malformed_store_message.h"
#include "cornelrelay/store/store_http_server_codec.h"
#include "cornelrelay/store/testing/store_model.h"

namespace cornelrelay::fakes {
namespace {

namespace asio = boost::asio;
using store::StoreReply;
using store::StoreRequest;

/// Longest delay until a waiting watch sees its event; the real service notifies at once.
constexpr std::chrono::milliseconds kWatchPoll{10};
constexpr std::chrono::seconds kLostAnswerWait{30};

}  // namespace

class FakeStore::Impl {
 public:
  Impl(asio::io_context& context, const core::Endpoint& listen)
      : m_context(context),
        m_server(context, listen, {}, std::nullopt,
                 [this](net::HttpRequest request, net::ResponseStream& response) {
                   return Handle(std::move(request), response);
                 }) {}

  void Start() { m_server.Start(); }

 private:
  asio::awaitable<void> Handle(net::HttpRequest request, net::ResponseStream& response) {
    std::optional<net::HttpResponse> control = Control(request);
    if (control) {
      co_await response.SendWhole(std::move(*control));
      co_return;
    }
    co_await Sleep(m_delay);
    std::optional<StoreRequest> call = Decode(request);
    if (!call) {
      net::HttpResponse answer = Malformed();
      co_await response.SendWhole(std::move(answer));
      co_return;
    }
    const auto id = m_next_call++;
    std::optional<StoreReply> reply = m_model.Handle(Now(), id, *call);
    if (std::holds_alternative<store::Watch>(*call) && !reply) {
      co_await ServeWatch(id, *call, response);
      co_return;
    }
    if (!reply) {
      // A lost answer: the call took effect, and the connection stays silent until the client gives
      // up.
      co_await Sleep(kLostAnswerWait);
      response.Abort();
      co_return;
    }
    net::HttpResponse answer = Encode(*call, *reply);
    co_await response.SendWhole(std::move(answer));
  }

  asio::awaitable<void> ServeWatch(std::uint64_t id, const StoreRequest& call,
                                   net::ResponseStream& response) {
    auto gone = std::make_shared<bool>(false);
    response.NotifyGone([gone] { *gone = true; });
    net::HttpResponseHead head;
    head.status = 200;
    head.headers["Content-Type"] = "application/json";
    co_await response.StartStream(std::move(head));
    std::string created = m_codec.WatchCreatedLine(m_model.Revision());
    co_await response.SendPiece(created);
    while (!*gone) {
      CollectWatchReplies();
      const auto fired = m_watch_replies.find(id);
      if (fired == m_watch_replies.end()) {
        co_await Sleep(kWatchPoll);
        continue;
      }
      std::string line = Encode(call, fired->second).body;
      m_watch_replies.erase(fired);
      co_await response.SendPiece(line);
      co_await response.FinishStream();
      co_return;
    }
    m_model.CancelWatch(id);
  }

  void CollectWatchReplies() {
    for (auto& fired : m_model.Advance(Now())) m_watch_replies[fired.call] = std::move(fired.reply);
  }

  std::optional<net::HttpResponse> Control(const net::HttpRequest& request) {
    if (request.target == "/calls") return JsonResponse(200, {{"calls", m_model.Calls()}});
    if (request.target != "/faults") return std::nullopt;
    const auto faults = nlohmann::json::parse(request.body);
    m_model.SetOutage(faults.value("outage", false));
    m_model.LoseAnswers(faults.value("lose_answers", 0U));
    m_delay = std::chrono::milliseconds(faults.value("delay_ms", 0));
    return JsonResponse(200, {{"ok", true}});
  }

  std::optional<StoreRequest> Decode(const net::HttpRequest& request) const {
    try {
      return m_codec.FromHttp({request.target, request.body});
    } catch (const store::MalformedStoreMessage&) {
      return std::nullopt;
    }
  }

  net::HttpResponse Encode(const StoreRequest& call, const StoreReply& reply) const {
    const auto encoded = m_codec.ToHttp(call, reply, m_model.Revision());
    net::HttpResponse response;
    response.status = encoded.status;
    response.headers["Content-Type"] = "application/json";
    response.body = encoded.body;
    return response;
  }

  static net::HttpResponse Malformed() { return JsonResponse(400, {{"error", "malformed call"}}); }

  static core::Instant Now() {
    return core::Instant(std::chrono::duration_cast<core::Duration>(
        std::chrono::steady_clock::now().time_since_epoch()));
  }

  asio::awaitable<void> Sleep(std::chrono::milliseconds time) {
    if (time.count() == 0) co_return;
    asio::steady_timer timer(m_context, time);
    boost::system::error_code ec;
    co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ec));
  }

  asio::io_context& m_context;
  store::testing::StoreModel m_model;
  store::StoreHttpServerCodec m_codec;
  std::map<std::uint64_t, StoreReply> m_watch_replies;
  std::uint64_t m_next_call = 1;
  std::chrono::milliseconds m_delay{0};
  net::HttpServer m_server;
};

FakeStore::FakeStore(asio::io_context& context, const core::Endpoint& listen)
    : m_impl(std::make_shared<Impl>(context, listen)) {}

FakeStore::~FakeStore() = default;

void FakeStore::Start() { m_impl->Start(); }

}  // namespace cornelrelay::fakes
