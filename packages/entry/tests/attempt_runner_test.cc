// Plain services in trouble: answers that are cut off or are no valid HTTP.
#include "cornelrelay/entry/attempt_runner.h"

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

#include "cornelrelay/net/testing/raw_server.h"

namespace cornelrelay::entry {
namespace {

using net::testing::RawConnection;
using net::testing::RawServer;
using std::chrono::milliseconds;
using std::chrono::seconds;

/// More than the kernel buffers of both sides hold.
constexpr std::size_t kLongUpload = 16'777'216;
constexpr int kSmallReceiveBuffer = 4'096;
/// Time for sent bytes to arrive before the connection is reset.
constexpr milliseconds kDelivery{50};

struct Outcome {
  bool broken = false;
  bool completed = false;
  std::string payload;
};

Outcome RunAttempt(const RawServer& server, std::size_t upload) {
  Outcome outcome;
  boost::asio::io_context context(1);
  net::HttpClient client(context, {});
  const auto mailbox = std::make_shared<driver::RequestMailbox>(context);
  AttemptOrder order;
  order.attempt = core::AttemptId("a-1");
  order.upstream = server.endpoint();
  order.request = {"POST", "/orders", {}, std::string(upload, 'x')};
  order.kind = settings::ServiceKind::kPlain;
  const auto runner = std::make_shared<AttemptRunner>(context, client, std::move(order), mailbox);
  runner->Start();
  boost::asio::co_spawn(
      context,
      [&]() -> boost::asio::awaitable<void> {
        const auto end = std::chrono::steady_clock::now() + seconds(10);
        while (!outcome.broken && !outcome.completed && std::chrono::steady_clock::now() < end) {
          co_await mailbox->WaitUntil(end);
          while (auto event = mailbox->Pop()) {
            if (std::holds_alternative<request::UpstreamClosed>(*event)) outcome.broken = true;
            if (auto* chunk = std::get_if<request::ChunkChecked>(&*event)) {
              outcome.completed = std::holds_alternative<request::End>(chunk->verdict);
              outcome.payload = std::move(chunk->payload);
            }
          }
          mailbox->MarkTaken();
        }
      },
      boost::asio::detached);
  context.run();
  return outcome;
}

Outcome RunAttemptReset(const std::string& answer) {
  const RawServer server(
      [&](RawConnection& connection) {
        std::string part;
        connection.Receive(part);
        connection.Send(answer);
        std::this_thread::sleep_for(kDelivery);
        connection.ResetOnClose();
      },
      kSmallReceiveBuffer);
  return RunAttempt(server, kLongUpload);
}

Outcome RunAttemptAnswered(const std::string& answer) {
  const RawServer server([&](RawConnection& connection) {
    std::string request;
    connection.Receive(request);
    connection.Send(answer);
  });
  return RunAttempt(server, 1);
}

}  // namespace

// Guards against MIXED of issue 46: a part of an answer that counted as a whole one.
TEST_CASE("an attempt is broken if its connection is reset during the upload") {
  const Outcome outcome = RunAttemptReset("HTTP/1.1 200 OK\r\n\r\npart of an answer");
  CHECK(outcome.broken);
  CHECK_FALSE(outcome.completed);
}

TEST_CASE("an attempt keeps a whole answer before a reset during the upload") {
  const Outcome outcome =
      RunAttemptReset("HTTP/1.1 413 Too Large\r\nContent-Length: 5\r\n\r\nlarge");
  CHECK_FALSE(outcome.broken);
  CHECK(outcome.completed);
  CHECK(outcome.payload == "large");
}

// Guards against MIXED of issue 46: bytes that are no HTTP response, or follow one, as the answer.
TEST_CASE("an attempt with an invalid answer is broken") {
  const std::string inner = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\ninner";
  const std::string head = GENERATE(
      as<std::string>{}, "HTTP/1.1 000 None\r\nContent-Length: 43\r\n",
      "HTTP/1.1 600 Odd\r\nContent-Length: 43\r\n", "HTTP/1.1 101 Switch\r\nUpgrade: other\r\n",
      "HTTP/1.1 103 Hints\r\nContent-Length: 43\r\n",
      "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\n",
      "HTTP/1.1 200 OK\r\nContent-Length : 43\r\n",
      "HTTP/1.1 200 OK\r\nX-First: 1\r\n Content-Length: 90\r\n");
  CAPTURE(head);
  const Outcome outcome = RunAttemptAnswered(head + "\r\n" + inner);
  CHECK(outcome.broken);
  CHECK_FALSE(outcome.completed);
}

}  // namespace cornelrelay::entry
