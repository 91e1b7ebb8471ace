// Upstreams in trouble: bytes without end that are no answer.
#include "cornelrelay/relay/upstream_call.h"

#include <spdlog/sinks/null_sink.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>
#include <chrono>
#include <memory>
#include <string>
#include <thread>
#include <utility>
#include <variant>

#include "cornelrelay/directory/upstream_directory.h"
#include "cornelrelay/net/http_headers.h"
#include "cornelrelay/net/testing/raw_server.h"
#include "cornelrelay/runtime/pause.h"
#include "cornelrelay/runtime/pause_detector.h"

namespace cornelrelay::relay {
namespace {

using net::testing::RawConnection;
using net::testing::RawServer;
using std::chrono::milliseconds;
using std::chrono::seconds;

/// What a call may take from an endless answer: its budget, its buffers and those of the kernel on
/// both sides of a loopback connection.
constexpr std::size_t kMaxTaken = 25'165'824;
constexpr std::size_t kBudget = 8'388'608;
constexpr std::size_t kMaxPayload = 1'024;

class PlainProtocol : public UpstreamProtocol {
 public:
  net::HttpRequest Encode(core::Instant, const UpstreamRequest& request) const override {
    return {"GET", "/", {{"Id", request.request.id.value()}}, ""};
  }
  UpstreamResponseHead Decode(net::HttpResponseHead head) const override {
    UpstreamResponseHead decoded;
    decoded.request_id = core::RequestId("r-1");
    decoded.not_executed = head.status == 503;
    decoded.has_signature = true;
    const auto type = net::FindHeader(head.headers, "Content-Type");
    decoded.event_stream = type == "text/event-stream";
    decoded.forwarded_head = std::move(head);
    return decoded;
  }
};

struct Outcome {
  bool refused = false;
  bool closed = false;     ///< the attempt was reported as broken
  bool completed = false;  ///< the answer was reported as complete
  bool truncated = false;  ///< the stream was reported as cut inside an event
  std::string payload;     ///< the first bytes that were reported
  std::size_t chunks = 0;
  std::size_t sent = 0;  ///< bytes that the upstream got rid of
  std::size_t held_after = 0;
  std::optional<std::uint64_t> position;  ///< after which the stream would resume
  std::string metrics;
  std::chrono::steady_clock::duration time{};
};

/// What delays the reading of an answer after its first part.
enum class ReadDelay {
  kNone,
  kFrozenProcess,
  kSlowCaller,
};

constexpr milliseconds kReadDelay = 2 * runtime::PauseDetector::kPause;

Outcome CallUpstream(const RawServer::Handler& respond, milliseconds time_left = seconds(20),
                     bool leaving = false, ReadDelay delay = ReadDelay::kNone) {
  Outcome outcome;
  const auto start = std::chrono::steady_clock::now();
  {
    RawServer server([&](RawConnection& connection) {
      std::string request;
      if (connection.Receive(request) > 0) respond(connection);
      outcome.sent = connection.sent();
    });
    boost::asio::io_context context(1);
    runtime::ProcessClock clock;
    net::HttpClient client(context, {});
    const PlainProtocol protocol;
    directory::UpstreamDirectory directory({});
    directory::UpstreamEntry entry;
    entry.id = core::UpstreamId("u-1");
    entry.endpoint = server.endpoint();
    entry.leaving = leaving;
    directory.Step(clock.Now(), directory::EntriesChanged{{{entry.id, entry}}});
    const CrashProbe probe(context, client, directory);
    runtime::PauseDetector pauses(context, clock);
    const auto budget = std::make_shared<limits::ByteBudget>(kBudget);
    telemetry::MetricRegistry metrics;
    telemetry::JsonLog log("test", telemetry::LogLevel::kError,
                           std::make_shared<spdlog::sinks::null_sink_mt>());
    const auto mailbox = std::make_shared<driver::RequestMailbox>(context);
    UpstreamRequest request;
    request.upstream = core::UpstreamId("u-1");
    request.endpoint = server.endpoint();
    request.request.id = core::RequestId("r-1");
    request.deadline = clock.Now() + time_left;
    const auto call = std::make_shared<UpstreamCall>(
        UpstreamCall::Dependencies{context, clock, client, protocol, probe, pauses, budget, metrics,
                                   log},
        core::AttemptId("a-1"), std::move(request), net::HttpClient::ConnectionUse::kFresh,
        mailbox);
    call->Start();
    boost::asio::co_spawn(
        context,
        [&]() -> boost::asio::awaitable<void> {
          const auto end = std::chrono::steady_clock::now() + seconds(30);
          bool over = false;
          bool delayed = false;
          while (!over && std::chrono::steady_clock::now() < end) {
            co_await mailbox->WaitUntil(end);
            while (auto event = mailbox->Pop()) {
              if (std::holds_alternative<request::UpstreamClosed>(*event)) outcome.closed = true;
              if (std::holds_alternative<request::AttemptRefused>(*event)) outcome.refused = true;
              if (const auto* chunk = std::get_if<request::ChunkChecked>(&*event)) {
                ++outcome.chunks;
                const auto* accepted = std::get_if<request::Accepted>(&chunk->verdict);
                if (accepted) outcome.position = accepted->position.sequence;
                outcome.completed = std::holds_alternative<request::End>(chunk->verdict);
                outcome.truncated = std::holds_alternative<request::Truncated>(chunk->verdict);
                if (outcome.payload.size() < kMaxPayload) outcome.payload += chunk->payload;
              }
            }
            over = outcome.closed || outcome.refused || outcome.completed || outcome.truncated;
            if (!std::exchange(delayed, outcome.chunks > 0) && delayed) {
              if (delay == ReadDelay::kFrozenProcess) std::this_thread::sleep_for(kReadDelay);
              if (delay == ReadDelay::kSlowCaller) co_await runtime::Pause(context, kReadDelay);
            }
            mailbox->MarkTaken();
          }
        },
        boost::asio::detached);
    context.run();
    outcome.metrics = metrics.Render(clock.Now());
    outcome.held_after = budget->used();
  }
  outcome.time = std::chrono::steady_clock::now() - start;
  return outcome;
}

const std::string kStreamHead =
    "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nConnection: close\r\n\r\n";
const std::string kFirstEvent = "id: 1\ndata: x\n\n";

}  // namespace

TEST_CASE("an answer without end is cut off before it takes the memory of the process") {
  const Outcome outcome = CallUpstream([](RawConnection& connection) {
    if (connection.Send("HTTP/1.1 200 OK\r\n\r\n")) connection.SendForever(std::string(4096, 'x'));
  });
  CHECK(outcome.closed);
  CHECK(outcome.sent < kMaxTaken);
  CHECK(outcome.metrics.find("cause=\"body_too_large\"") != std::string::npos);
}

TEST_CASE("an event without end is cut off at its limit") {
  const Outcome outcome = CallUpstream([](RawConnection& connection) {
    if (connection.Send(kStreamHead + kFirstEvent + "id: 2\ndata: ")) {
      connection.SendForever(std::string(4096, 'x'));
    }
  });
  CHECK(outcome.closed);
  CHECK(outcome.sent < kMaxTaken);
  CHECK(outcome.metrics.find("cause=\"body_too_large\"") != std::string::npos);
}

TEST_CASE("events without an id and without end are cut off at their limit") {
  const Outcome outcome = CallUpstream([](RawConnection& connection) {
    if (connection.Send(kStreamHead + kFirstEvent)) connection.SendForever(": comment\n\n");
  });
  CHECK(outcome.closed);
  CHECK_FALSE(outcome.completed);
  CHECK(outcome.sent < kMaxTaken);
  CHECK(outcome.metrics.find("cause=\"no_progress\"") != std::string::npos);
}

TEST_CASE("an event that arrives byte by byte without end is cut off in time") {
  const Outcome outcome = CallUpstream([](RawConnection& connection) {
    bool open = connection.Send(kStreamHead + kFirstEvent + "id: 2\ndata: ");
    while (open) {
      std::this_thread::sleep_for(milliseconds(50));
      open = connection.Send("x");
    }
  });
  CHECK(outcome.closed);
  CHECK(outcome.time < seconds(5));
  CHECK(outcome.metrics.find("cause=\"no_progress\"") != std::string::npos);
}

TEST_CASE("a refusal with a body without end is taken at once and its connection closed") {
  const Outcome outcome = CallUpstream([](RawConnection& connection) {
    if (connection.Send("HTTP/1.1 503 Full\r\n\r\n"))
      connection.SendForever(std::string(4096, 'x'));
  });
  CHECK(outcome.refused);
  CHECK_FALSE(outcome.closed);
  CHECK(outcome.sent < kMaxTaken);
}

TEST_CASE("a complete stream is passed on and leaves no memory reserved") {
  const Outcome outcome = CallUpstream([](RawConnection& connection) {
    connection.Send(kStreamHead + kFirstEvent + "id: 2\ndata: y\n\n");
  });
  CHECK(outcome.completed);
  CHECK(outcome.chunks == 3);
  CHECK(outcome.held_after == 0);
}

// The cases below guard against MIXED and ORDER of issue 24: an answer without length and chunks
// that broke off and looks complete, or that is complete and counts as broken.
// Guards against ORDER of review/15: the position behind the event with id 0 was that of a stream
// without any event, so its first event came twice.
TEST_CASE("a stream has a position as soon as an event with an id has come, also with id 0") {
  const auto position_after = [](const std::string& events) {
    return CallUpstream([&](RawConnection& connection) { connection.Send(kStreamHead + events); })
        .position;
  };
  CHECK_FALSE(position_after(": comment\n\n"));
  CHECK(position_after("id: 0\ndata: x\n\n") == 0U);
  CHECK(position_after(": comment\n\nid: 0\ndata: x\n\n: comment\n\n") == 0U);
  CHECK(position_after("id: 0\ndata: x\n\nid: 1\ndata: y\n\n") == 1U);
}

TEST_CASE("an answer that ends with its connection is complete") {
  const Outcome outcome = CallUpstream(
      [](RawConnection& connection) { connection.Send("HTTP/1.1 200 OK\r\n\r\nwhole answer"); });
  CHECK(outcome.completed);
  CHECK(outcome.payload == "whole answer");
}

TEST_CASE("an answer without length whose connection is reset is broken off") {
  const Outcome outcome = CallUpstream([](RawConnection& connection) {
    connection.Send("HTTP/1.1 200 OK\r\n\r\nhalf");
    connection.ResetOnClose();
  });
  CHECK(outcome.closed);
  CHECK_FALSE(outcome.completed);
}

TEST_CASE("a stream that ends with its connection is complete after an event") {
  const Outcome outcome =
      CallUpstream([](RawConnection& connection) { connection.Send(kStreamHead + kFirstEvent); });
  CHECK(outcome.completed);
  CHECK(outcome.payload == kFirstEvent);
}

TEST_CASE("a stream that ends inside an event is broken off, however it is framed") {
  const std::string part = "id: 2\ndata: y\n";
  const Outcome unframed = CallUpstream(
      [&](RawConnection& connection) { connection.Send(kStreamHead + kFirstEvent + part); });
  CHECK(unframed.truncated);
  CHECK_FALSE(unframed.completed);
  CHECK(unframed.payload == kFirstEvent);
  const std::string body = kFirstEvent + part;
  const Outcome with_length = CallUpstream([&](RawConnection& connection) {
    connection.Send("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nContent-Length: " +
                    std::to_string(body.size()) + "\r\n\r\n" + body);
  });
  CHECK(with_length.truncated);
  CHECK(with_length.payload == kFirstEvent);
}

TEST_CASE("a stream without length whose connection is reset between events is broken off") {
  const Outcome outcome = CallUpstream([](RawConnection& connection) {
    connection.Send(kStreamHead + kFirstEvent);
    connection.ResetOnClose();
  });
  CHECK_FALSE(outcome.completed);
  CHECK(outcome.closed);
}

TEST_CASE("a stream that ends with its connection before its first event is broken off") {
  const Outcome outcome =
      CallUpstream([](RawConnection& connection) { connection.Send(kStreamHead); });
  CHECK_FALSE(outcome.completed);
}

// Guards against MIXED and ORDER of issue 27: a head that was cut off was taken for a whole one,
// and its answer for a complete one without a body.
TEST_CASE("an answer that ends inside its head is broken off") {
  const std::string head =
      "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: 4\r\n\r\n";
  for (std::size_t length = 1; length < head.size(); ++length) {
    const Outcome outcome =
        CallUpstream([&](RawConnection& connection) { connection.Send(head.substr(0, length)); });
    CAPTURE(length);
    CHECK(outcome.closed);
    CHECK_FALSE(outcome.completed);
    CHECK(outcome.payload.empty());
  }
}

TEST_CASE("a stream that ends with its connection is broken off if its upstream is gone") {
  const Outcome outcome = CallUpstream([](RawConnection& connection) {
    connection.Send(kStreamHead + kFirstEvent);
    connection.StopListening();
  });
  CHECK_FALSE(outcome.completed);
  CHECK(outcome.payload == kFirstEvent);
}

// Guards against cut streams that look complete because the kernel of a dying process still
// accepted the probe (review/3).
TEST_CASE("a stream is broken off also if its upstream listens a moment longer than it sends") {
  const Outcome outcome = CallUpstream([](RawConnection& connection) {
    connection.Send(kStreamHead + kFirstEvent);
    connection.EndSending();
    std::this_thread::sleep_for(milliseconds(20));
    connection.StopListening();
  });
  CHECK_FALSE(outcome.completed);
  CHECK(outcome.payload == kFirstEvent);
}

// Guards against cut streams that look complete because their upstream had said that it leaves
// (review/4).
TEST_CASE("a stream is broken off also if its upstream was leaving when it ended") {
  const Outcome outcome = CallUpstream(
      [](RawConnection& connection) {
        connection.Send(kStreamHead + kFirstEvent);
        connection.StopListening();
      },
      seconds(20), true);
  CHECK_FALSE(outcome.completed);
  CHECK(outcome.payload == kFirstEvent);
}

// Guards against cut streams that look complete because their upstream was back when the end of the
// connection was read (review/7).
TEST_CASE("a stream is broken off if its end is read so late that its upstream may be back") {
  const auto delay = GENERATE(ReadDelay::kFrozenProcess, ReadDelay::kSlowCaller);
  const Outcome outcome = CallUpstream(
      [](RawConnection& connection) {
        connection.Send(kStreamHead + kFirstEvent);
        std::this_thread::sleep_for(kReadDelay / 2);
        connection.EndSending();
        std::this_thread::sleep_for(kReadDelay);
      },
      seconds(20), false, delay);
  CHECK_FALSE(outcome.completed);
  CHECK(outcome.payload == kFirstEvent);
}

TEST_CASE("a stream that goes on after a delay of its reader is complete at its end") {
  const auto delay = GENERATE(ReadDelay::kFrozenProcess, ReadDelay::kSlowCaller);
  const std::string second = "id: 2\ndata: y\n\n";
  const Outcome outcome = CallUpstream(
      [&](RawConnection& connection) {
        connection.Send(kStreamHead + kFirstEvent);
        std::this_thread::sleep_for(2 * kReadDelay);
        connection.Send(second);
        connection.EndSending();
        std::this_thread::sleep_for(milliseconds(200));
      },
      seconds(20), false, delay);
  CHECK(outcome.completed);
  CHECK(outcome.payload == kFirstEvent + second);
}

TEST_CASE("a stream that ends with its connection is complete if its upstream goes on") {
  const Outcome outcome = CallUpstream([](RawConnection& connection) {
    connection.Send(kStreamHead + kFirstEvent);
    connection.EndSending();
    std::this_thread::sleep_for(milliseconds(200));
  });
  CHECK(outcome.completed);
  CHECK(outcome.payload == kFirstEvent);
}

}  // namespace cornelrelay::relay
