#include "cornelrelay/driver/request_driver.h"

#include <cassert>
#include <utility>
#include <variant>

#include "cornelrelay/net/errors.h"

namespace cornelrelay::driver {
namespace {

/// Drive() stops taking events and flushes once this many response bytes wait to be written.
constexpr std::size_t kFlushThresholdBytes = 16'384;

}  // namespace

RequestDriver::RequestDriver(boost::asio::io_context& context, const runtime::ProcessClock& clock,
                             net::ResponseStream& response, request::RequestMachine machine)
    : m_clock(clock),
      m_response(response),
      m_mailbox(std::make_shared<RequestMailbox>(context)),
      m_machine(std::move(machine)) {}

RequestDriver::~RequestDriver() { m_mailbox->Close(); }

void RequestDriver::EndForShutdown() { m_mailbox->Push(request::ShutdownLimitReached{}); }
void RequestDriver::EndForQuarantine() { m_mailbox->Push(request::Quarantined{}); }

core::Instant RequestDriver::NextWake() const {
  return m_machine.WakeAt().value_or(core::Instant::max());
}

void RequestDriver::Step(const request::RequestEvent& event) {
  for (const request::RequestAction& action : m_machine.Step(m_clock.Now(), event)) {
    std::visit([this](const auto& a) { Perform(a); }, action);
  }
}

void RequestDriver::Perform(const request::AcquireClaim&) { assert(false); }
void RequestDriver::Perform(const request::FinishClaim&) { assert(false); }
void RequestDriver::Perform(const request::ForwardErrorResponse&) { assert(false); }

boost::asio::awaitable<void> RequestDriver::Drive() {
  m_response.NotifyGone([mailbox = m_mailbox] { mailbox->Push(request::CallerGone{}); });
  Step(request::Started{});
  while (!m_outcome) {
    co_await m_mailbox->WaitUntil(m_clock.ToSteady(NextWake()));
    while (pending() < kFlushThresholdBytes) {
      std::optional<request::RequestEvent> event = m_mailbox->Pop();
      if (!event) break;
      if (!DeferEvent(*event)) Step(*event);
    }
    OnEventsProcessed();
    Step(request::TimePassed{});
    co_await Flush();
    m_mailbox->MarkTaken();
  }
}

boost::asio::awaitable<void> RequestDriver::Finish() {
  co_await Flush();
  m_response.NotifyGone(nullptr);
  m_mailbox->Close();
}

boost::asio::awaitable<void> RequestDriver::Flush() {
  bool gone = false;
  try {
    co_await WriteAnswer();
  } catch (const net::CallerGone&) {
    gone = true;
  }
  if (gone) m_mailbox->Push(request::CallerGone{});
}

}  // namespace cornelrelay::driver
