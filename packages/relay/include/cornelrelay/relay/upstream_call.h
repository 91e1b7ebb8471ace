#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <utility>

#include "cornelrelay/core/ids.h"
#include "cornelrelay/driver/attempt_call.h"
#include "cornelrelay/limits/byte_budget.h"
#include "cornelrelay/net/break_cause.h"
#include "cornelrelay/net/http_client.h"
#include "cornelrelay/relay/crash_probe.h"
#include "cornelrelay/relay/upstream_protocol.h"
#include "cornelrelay/relay/upstream_request.h"
#include "cornelrelay/request/request_event.h"
#include "cornelrelay/runtime/pause_detector.h"
#include "cornelrelay/runtime/process_clock.h"
#include "cornelrelay/telemetry/json_log.h"
#include "cornelrelay/telemetry/metric_registry.h"

namespace cornelrelay::relay {

/// \brief Runs one attempt against an upstream. An UpstreamProtocol translates its messages.
class UpstreamCall : public driver::AttemptCall {
 public:
  struct Dependencies {
    boost::asio::io_context& context;
    const runtime::ProcessClock& clock;
    net::HttpClient& client;
    const UpstreamProtocol& protocol;
    const CrashProbe& crash_probe;
    runtime::PauseDetector& pauses;
    std::shared_ptr<limits::ByteBudget> response_bytes;
    telemetry::MetricRegistry& metrics;
    telemetry::JsonLog& log;
  };

  UpstreamCall(Dependencies dependencies, core::AttemptId attempt, UpstreamRequest request,
               net::HttpClient::ConnectionUse use, std::shared_ptr<driver::RequestMailbox> mailbox);

  /// \brief Head of the response; set before any event about the response is reported.
  const std::optional<UpstreamResponseHead>& head() const { return m_head; }
  const core::UpstreamId& upstream_id() const { return m_request.upstream; }
  /// \brief Why the exchange broke; empty if it did not, or was cancelled.
  const std::optional<net::BreakCause>& break_cause() const { return m_break_cause; }
  /// \brief Hands over the body of the response that was reported as ErrorResponseReceived.
  std::string TakeFailureBody() { return std::exchange(m_failure_body, {}); }
  /// \brief Id of the last event of a stream; the id after which it resumes before the first one.
  std::optional<std::uint64_t> last_event_id() const { return m_last_event_id; }
  /// \brief Whether the upstream has gone on after the first event of a stream. Until then the
  /// request may still crash it.
  bool gone_on() const { return m_numbered_events > 1; }
  /// \brief Whether the upstream ended the connection before it had gone on.
  bool lost_at_start() const { return m_connection_ended && !gone_on(); }

 private:
  boost::asio::awaitable<void> Exchange() override;
  void OnBroken(net::BreakCause cause, const core::Error& error) override;
  boost::asio::awaitable<void> ReadMatchingHead();
  /// \brief Reads the whole body into memory of the budget for responses.
  boost::asio::awaitable<std::string> ReadBufferedBody();
  /// \brief Reads the body of a refusal, which has been reported, so that the connection can be
  /// used again.
  boost::asio::awaitable<void> DiscardBody();
  /// \brief Throws ExchangeBroken if a body of this size is too large.
  void CheckBodySize(std::size_t bytes) const;
  /// \brief Reserves memory for the bytes that are held. Throws ExchangeBroken if there is none.
  void Hold(std::size_t bytes);
  /// \brief Reserves memory for a body of known length before it is read, and waits for it until
  /// the deadline with the bytes left in the kernel.
  boost::asio::awaitable<void> HoldAnnouncedBody();
  boost::asio::awaitable<void> ReadStream();
  request::StreamVerdict CheckSequence(std::string_view event);
  /// \brief Reads the next piece and notes whether the end of the response can be recent.
  boost::asio::awaitable<std::optional<std::string>> ReadPiece();
  /// \brief Notes that a part of the response has been read that was asked for at `asked`.
  void NoteRead(core::Instant asked);
  /// \brief Throws ExchangeBroken if only the end of the connection ended the response, and the
  /// upstream has ended too: its host then ends connections as after a complete response. Also if
  /// the end may have arrived so long ago that the upstream may have ended and started again.
  boost::asio::awaitable<void> CheckEnd();
  /// \brief Throws ExchangeBroken if bytes of the stream have arrived for too long, or too many,
  /// without an event that has an id.
  void CheckProgress();

  boost::asio::io_context& m_context;
  const runtime::ProcessClock& m_clock;
  const UpstreamProtocol& m_protocol;
  const CrashProbe& m_crash_probe;
  runtime::PauseDetector& m_pauses;
  telemetry::MetricRegistry& m_metrics;
  telemetry::JsonLog& m_log;
  UpstreamRequest m_request;
  limits::ByteReservation m_held_bytes;
  std::optional<UpstreamResponseHead> m_head;
  std::optional<net::BreakCause> m_break_cause;
  std::string m_failure_body;
  std::size_t m_announced_bytes = 0;  ///< length of the body, 0 if it is not announced
  std::optional<std::uint64_t> m_last_event_id;
  core::Instant m_last_read{};          ///< when a part of the response was read
  core::Instant m_known_open_at{};      ///< when the response was last known to go on
  bool m_read_late = false;             ///< parts were left unread for long since then
  bool m_ends_with_connection = false;  ///< the response has neither a length nor chunks
  std::size_t m_numbered_events = 0;    ///< events with an id that have arrived
  bool m_connection_ended = false;      ///< by the upstream, before the end of the response
  std::size_t m_unnumbered_bytes = 0;   ///< of events without an id since the last one with an id
  /// When the first byte after the last event with an id arrived.
  std::optional<core::Instant> m_no_progress_since;
};

}  // namespace cornelrelay::relay
