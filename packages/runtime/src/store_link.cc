#include "cornelrelay/runtime/store_link.h"

#include <boost/asio/co_spawn.hpp>
#include <charconv>
#include <exception>
#include <string>
#include <utility>
#include <variant>

#include "cornelrelay/core/overloaded.h"
#include "cornelrelay/net/errors.h"
#include "cornelrelay/net/http_headers.h"
#include "cornelrelay/net/rethrow_failure.h"

namespace cornelrelay::runtime {
namespace {

namespace asio = boost::asio;
using store::StoreReply;

constexpr std::size_t kMaxAnswerBytes = 2'097'152;

std::chrono::milliseconds ToMilliseconds(core::Duration duration) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(duration);
}

std::optional<store::StoreEra> ParseEra(std::string_view text) {
  store::StoreEra era = 0;
  const auto [rest, status] = std::from_chars(text.data(), text.data() + text.size(), era);
  if (status != std::errc() || rest != text.data() + text.size()) return std::nullopt;
  return era;
}

}  // namespace

StoreLink::StoreLink(asio::io_context& context, const ProcessClock& clock, net::HttpClient& client,
                     const store::StoreCodec& codec, core::Endpoint store,
                     const store::StoreClientOptions& options, std::uint64_t seed)
    : m_context(context),
      m_clock(clock),
      m_http(client),
      m_codec(codec),
      m_store(std::move(store)),
      m_options(options),
      m_machine(options, seed),
      m_timer(context, clock, [this] { Step(store::ClientTick{}); }) {}

store::StoreCallId StoreLink::Call(store::StoreRequest request, ReplyHandler on_reply) {
  const store::StoreCallId id = m_next_call++;
  m_handlers.emplace(id, std::move(on_reply));
  Step(store::CallSubmitted{id, std::move(request)});
  return id;
}

void StoreLink::Cancel(store::StoreCallId call) {
  m_handlers.erase(call);
  Step(store::CallCancelled{call});
}

void StoreLink::Step(const store::StoreClientEvent& event) {
  for (const auto& action : m_machine.Step(m_clock.Now(), event)) {
    std::visit(core::Overloaded{[this](const store::TransmitCall& call) { Transmit(call); },
                                [](const store::AbandonTransmission&) {},
                                [this](const store::DeliverReply& d) { Deliver(d); }},
               action);
  }
  if (const auto wake = m_machine.NextWake(m_clock.Now())) m_timer.SetAt(*wake);
}

void StoreLink::Transmit(const store::TransmitCall& call) {
  ++m_transmissions;
  asio::co_spawn(
      m_context, [self = shared_from_this(), call] { return self->Run(call); },
      net::RethrowFailure{});
}

asio::awaitable<void> StoreLink::Run(store::TransmitCall call) {
  StoreReply reply = store::TimedOut{};
  try {
    reply = co_await Exchange(call.request);
  } catch (const net::ConnectFailed&) {
    reply = store::Unavailable{};
  } catch (const net::ExchangeBroken&) {
    reply = store::TimedOut{};
  } catch (const std::exception&) {
    // A fault of this program; whoever made the call waits for a reply all the same.
    Step(store::ReplyReceived{call.transmission, store::TimedOut{}});
    throw;
  }
  store::ReplyReceived received;
  received.transmission = call.transmission;
  received.reply = std::move(reply);
  Step(received);
}

asio::awaitable<StoreReply> StoreLink::Exchange(const store::StoreRequest& request) {
  const auto* watch = std::get_if<store::Watch>(&request);
  const auto timeout =
      ToMilliseconds(store::IsWatch(request) ? m_options.watch_timeout : m_options.call_timeout);
  auto exchange =
      co_await m_http.Open(m_store, net::HttpClient::ConnectionUse::kFresh, {timeout, timeout});
  store::StoreHttpRequest message = m_codec.ToHttp(request);
  net::HttpRequest http;
  http.method = std::move(message.method);
  http.target = std::move(message.path);
  if (!message.body.empty()) http.headers["Content-Type"] = "application/json";
  http.body = std::move(message.body);
  co_await exchange->SendRequest(std::move(http));
  const net::HttpResponseHead head = co_await exchange->ReadHead();
  if (watch && head.status == 200) {
    StoreReply event = co_await ReadWatch(*watch, *exchange);
    co_return event;
  }
  std::string body;
  while (true) {
    std::optional<std::string> piece = co_await exchange->ReadPiece();
    if (!piece || body.size() > kMaxAnswerBytes) break;
    body += *piece;
  }
  StoreReply reply = m_codec.FromHttp(request, head.status, body);
  if (const auto text = net::FindHeader(head.headers, m_codec.EraHeader())) {
    const auto era = ParseEra(*text);
    // Without its era, the answer cannot be compared with others.
    if (!era) co_return StoreReply(store::TimedOut{});
    SetEra(reply, *era);
  }
  co_return reply;
}

asio::awaitable<StoreReply> StoreLink::ReadWatch(const store::Watch& watch,
                                                 net::HttpExchange& exchange) {
  std::string buffer;
  while (true) {
    std::optional<std::string> piece = co_await exchange.ReadPiece();
    if (!piece || buffer.size() > kMaxAnswerBytes) break;
    buffer += *piece;
    for (auto end = buffer.find('\n'); end != std::string::npos; end = buffer.find('\n')) {
      std::optional<StoreReply> reply = m_codec.FromWatchLine(watch, buffer.substr(0, end));
      buffer.erase(0, end + 1);
      if (reply) co_return std::move(*reply);
    }
  }
  co_return StoreReply(store::TimedOut{});
}

void StoreLink::Deliver(const store::DeliverReply& delivery) {
  const auto found = m_handlers.find(delivery.call);
  if (found == m_handlers.end()) return;
  const ReplyHandler handler = std::move(found->second);
  m_handlers.erase(found);
  handler(delivery.reply);
}

}  // namespace cornelrelay::runtime
