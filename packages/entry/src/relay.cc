#include "cornelrelay/entry/relay.h"

#include <chrono>
#include <optional>
#include <utility>

#include "cornelrelay/entry/typed_error.h"
#include "cornelrelay/net/errors.h"

namespace cornelrelay::entry {
namespace {

constexpr std::chrono::seconds kUpstreamTimeout{30};

}  // namespace

Relay::Relay(net::HttpClient& client, std::vector<core::Endpoint> upstreams)
    : m_client(client), m_upstreams(std::move(upstreams)) {}

boost::asio::awaitable<void> Relay::Serve(net::HttpRequest request, net::ResponseStream& response) {
  const core::RequestId id(net::FindHeader(request.headers, "X-Request-Id").value_or("unnamed"));
  std::optional<TypedError> failure;
  try {
    co_await Forward(id, std::move(request), response);
  } catch (const net::ConnectFailed& error) {
    failure = TypedError{503, "upstream_unavailable", error.what(), core::Execution::kNotRun, 0};
  } catch (const net::ExchangeBroken& error) {
    failure = TypedError{502, "upstream_broken", error.what(), core::Execution::kUnknown, 0};
  }
  if (!failure) co_return;
  if (!response.Started()) {
    net::HttpResponse answer = ToResponse(*failure, id);
    co_await response.SendWhole(std::move(answer));
    co_return;
  }
  const std::string event = ToSseEvent(*failure, id);
  co_await response.SendPiece(event);
  response.Abort();
}

boost::asio::awaitable<void> Relay::Forward(const core::RequestId& id, net::HttpRequest request,
                                            net::ResponseStream& response) {
  const core::Endpoint upstream = m_upstreams[m_next++ % m_upstreams.size()];
  request.headers.erase("Authorization");
  request.headers["X-Request-Id"] = id.value();
  auto exchange = co_await m_client.Send(upstream, std::move(request),
                                         net::HttpClient::ConnectionUse::kFresh, kUpstreamTimeout);
  response.NotifyGone([&exchange] { exchange->Cancel(); });
  net::HttpResponseHead head = co_await exchange->ReadHead();
  head.headers.erase("Transfer-Encoding");
  head.headers.erase("Content-Length");
  head.headers["X-Request-Id"] = id.value();
  co_await response.StartStream(std::move(head));
  while (auto piece = co_await exchange->ReadPiece()) co_await response.SendPiece(*piece);
  co_await response.FinishStream();
}

}  // namespace cornelrelay::entry
