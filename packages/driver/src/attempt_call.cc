#include "cornelrelay/driver/attempt_call.h"

#include <boost/asio/co_spawn.hpp>
#include <exception>
#include <optional>
#include <utility>

#include "cornelrelay/net/errors.h"
#include "cornelrelay/net/rethrow_failure.h"
#include "cornelrelay/request/sse_event_too_large.h"

namespace cornelrelay::driver {

namespace asio = boost::asio;

AttemptCall::AttemptCall(asio::io_context& context, net::HttpClient& client, Target target,
                         std::shared_ptr<RequestMailbox> mailbox)
    : m_context(context),
      m_client(client),
      m_target(std::move(target)),
      m_mailbox(std::move(mailbox)) {}

void AttemptCall::Start() {
  asio::co_spawn(
      m_context, [self = shared_from_this()] { return self->Run(); }, net::RethrowFailure{});
}

void AttemptCall::Cancel() {
  m_cancelled = true;
  if (m_exchange) m_exchange->Cancel();
}

void AttemptCall::Report(request::RequestEvent event) {
  if (!m_cancelled) m_mailbox->Push(std::move(event));
}

asio::awaitable<void> AttemptCall::Run() {
  try {
    co_await RunAttempt();
  } catch (const std::exception&) {
    // The request must not wait any longer for an attempt that a fault of this program has ended.
    if (m_write_permitted) {
      Report(request::UpstreamClosed{m_target.attempt});
    } else {
      Report(request::ConnectFailed{m_target.attempt});
    }
    throw;
  }
}

asio::awaitable<void> AttemptCall::RunAttempt() {
  bool connected = false;
  try {
    m_exchange = co_await m_client.Open(m_target.upstream, m_target.use,
                                        {m_target.timeout, m_target.timeout});
    connected = true;
  } catch (const net::ConnectFailed&) {
    connected = false;
  }
  if (m_cancelled) co_return;
  if (!connected) {
    Report(request::ConnectFailed{m_target.attempt});
    co_return;
  }
  // BytesSent is handled before the first byte is sent, so that RequestMachine never reports
  // not_run for a request that may have reached the upstream.
  Report(request::BytesSent{m_target.attempt});
  co_await m_mailbox->UntilTaken();
  if (m_cancelled || m_mailbox->closed()) co_return;
  m_write_permitted = true;
  bool broken = false;
  bool unsent = false;
  try {
    co_await Exchange();
  } catch (const net::ConnectFailed&) {
    unsent = true;
  } catch (const net::ExchangeBroken& error) {
    broken = true;
    HandleBreak(error.cause(), error);
  } catch (const request::SseEventTooLarge& error) {
    broken = true;
    HandleBreak(net::BreakCause::kBodyTooLarge, error);
  }
  if (unsent) Report(request::ConnectFailed{m_target.attempt});
  if (broken) Report(request::UpstreamClosed{m_target.attempt});
}

// A cancelled exchange breaks because this process closed its connection.
void AttemptCall::HandleBreak(net::BreakCause cause, const core::Error& error) {
  if (!m_cancelled) OnBroken(cause, error);
}

asio::awaitable<std::string> AttemptCall::ReadBody(std::size_t limit) {
  std::string body;
  while (std::optional<std::string> piece = co_await m_exchange->ReadPiece()) {
    body += *piece;
    if (body.size() > limit) {
      throw net::ExchangeBroken(m_target.upstream, net::BreakCause::kBodyTooLarge,
                                "the response body exceeds its limit");
    }
  }
  co_return body;
}

}  // namespace cornelrelay::driver
