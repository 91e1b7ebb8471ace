// Servers in trouble send bytes that are no response, without end, until their peer closes.
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>
#include <cerrno>
#include <chrono>
#include <future>
#include <optional>
#include <string>
#include <thread>

#include "cornelrelay/net/errors.h"
#include "cornelrelay/net/http_client.h"
#include "cornelrelay/net/testing/raw_server.h"

namespace cornelrelay::net {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using testing::RawConnection;
using testing::RawServer;

constexpr std::size_t kMaxBody = 65'536;
/// What a client may take from an endless response before it closes: its own buffers and those of
/// the kernel on both sides of a loopback connection.
constexpr std::size_t kMaxTaken = 16'777'216;

struct Outcome {
  std::optional<BreakCause> cause;
  std::chrono::steady_clock::duration time{};
  std::size_t sent = 0;  ///< bytes that the server got rid of
};

Outcome FetchFrom(const RawServer::Handler& respond, milliseconds timeout = seconds(2)) {
  Outcome outcome;
  {
    RawServer server([&](RawConnection& connection) {
      std::string request;
      if (connection.Receive(request) > 0) respond(connection);
      outcome.sent = connection.sent();
    });
    boost::asio::io_context context(1);
    HttpClient client(context, {});
    const auto start = std::chrono::steady_clock::now();
    boost::asio::co_spawn(
        context,
        [&]() -> boost::asio::awaitable<void> {
          HttpRequest request{"GET", "/", {}, ""};
          try {
            co_await client.Fetch(server.endpoint(), std::move(request), timeout, kMaxBody);
          } catch (const ExchangeBroken& error) {
            outcome.cause = error.cause();
          }
        },
        boost::asio::detached);
    context.run();
    outcome.time = std::chrono::steady_clock::now() - start;
  }
  return outcome;
}

const std::string kChunkedHead = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

}  // namespace

TEST_CASE("a response head without end is cut off at its limit") {
  const Outcome outcome = FetchFrom([](RawConnection& connection) {
    if (connection.Send("HTTP/1.1 200 OK\r\n")) connection.SendForever("X-Filler: 0123456789\r\n");
  });
  CHECK(outcome.cause == BreakCause::kHeadTooLarge);
  CHECK(outcome.sent < kMaxTaken);
}

TEST_CASE("bytes without end that are no HTTP are cut off") {
  const Outcome outcome =
      FetchFrom([](RawConnection& connection) { connection.SendForever("\x01\x02garbage"); });
  CHECK(outcome.cause == BreakCause::kMalformed);
  CHECK(outcome.sent < kMaxTaken);
}

TEST_CASE("a status line without end is cut off at its limit") {
  const Outcome outcome = FetchFrom([](RawConnection& connection) {
    if (connection.Send("HTTP/1.1 200 ")) connection.SendForever("OKOKOKOKOKOKOKOK");
  });
  CHECK(outcome.cause == BreakCause::kHeadTooLarge);
  CHECK(outcome.sent < kMaxTaken);
}

TEST_CASE("interim responses without end are cut off") {
  const Outcome outcome = FetchFrom(
      [](RawConnection& connection) { connection.SendForever("HTTP/1.1 102 Processing\r\n\r\n"); });
  CHECK(outcome.cause == BreakCause::kTooManyHeads);
  CHECK(outcome.sent < kMaxTaken);
}

TEST_CASE("a chunk size line without end is cut off at its limit") {
  const Outcome outcome = FetchFrom([](RawConnection& connection) {
    if (connection.Send(kChunkedHead + "5;extension=")) connection.SendForever("0123456789abcdef");
  });
  CHECK(outcome.cause == BreakCause::kHeadTooLarge);
  CHECK(outcome.sent < kMaxTaken);
}

TEST_CASE("trailers without end are cut off at their limit") {
  const Outcome outcome = FetchFrom([](RawConnection& connection) {
    if (connection.Send(kChunkedHead + "0\r\n")) connection.SendForever("X-Trailer: filler\r\n");
  });
  CHECK(outcome.cause == BreakCause::kHeadTooLarge);
  CHECK(outcome.sent < kMaxTaken);
}

TEST_CASE("a body without end is cut off at its limit") {
  for (const std::string& head : {kChunkedHead, std::string("HTTP/1.1 200 OK\r\n\r\n")}) {
    const std::string piece = head == kChunkedHead ? "10\r\n0123456789abcdef\r\n" : "0123456789";
    const Outcome outcome = FetchFrom([&](RawConnection& connection) {
      if (connection.Send(head)) connection.SendForever(piece);
    });
    CHECK(outcome.cause == BreakCause::kBodyTooLarge);
    CHECK(outcome.sent < kMaxTaken);
  }
}

TEST_CASE("a response that arrives byte by byte without end is cut off in time") {
  for (const std::string& start :
       {std::string("HTTP/1.1 200 OK\r\nX-Filler: "), std::string("HTTP/1.1 200 OK\r\n\r\n"),
        kChunkedHead + "ff\r\n"}) {
    const Outcome outcome = FetchFrom(
        [&](RawConnection& connection) {
          bool open = connection.Send(start);
          while (open) {
            std::this_thread::sleep_for(milliseconds(20));
            open = connection.Send("a");
          }
        },
        milliseconds(300));
    CHECK(outcome.cause == BreakCause::kTimeout);
    CHECK(outcome.time < seconds(3));
  }
}

TEST_CASE("a skipped response without end is cut off at its limit") {
  RawServer server([](RawConnection& connection) {
    std::string request;
    if (connection.Receive(request) <= 0) return;
    if (connection.Send(kChunkedHead)) connection.SendForever("10\r\n0123456789abcdef\r\n");
  });
  boost::asio::io_context context(1);
  HttpClient client(context, {});
  std::optional<BreakCause> cause;
  boost::asio::co_spawn(
      context,
      [&]() -> boost::asio::awaitable<void> {
        auto exchange = co_await client.Open(server.endpoint(), HttpClient::ConnectionUse::kFresh,
                                             {seconds(2), seconds(2)});
        HttpRequest request{"GET", "/", {}, ""};
        co_await exchange->SendRequest(std::move(request));
        co_await exchange->ReadHead();
        try {
          co_await exchange->SkipResponse();
        } catch (const ExchangeBroken& error) {
          cause = error.cause();
        }
      },
      boost::asio::detached);
  context.run();
  CHECK(cause == BreakCause::kBodyTooLarge);
}

// Guards against a 502 for a request of which no byte was written: its connection was reset after
// it was opened, or taken from the pool, and before the first write.
TEST_CASE("a connection that is reset before the first byte counts as not established") {
  std::promise<void> opened, closed;
  int connections = 0;
  RawServer server([&](RawConnection& connection) {
    if (++connections == 1) {
      opened.get_future().wait_for(seconds(5));
      connection.ResetOnClose();
    } else {
      closed.set_value();
    }
  });
  boost::asio::io_context context(1);
  HttpClient client(context, {});
  bool unsent = false;
  boost::asio::co_spawn(
      context,
      [&]() -> boost::asio::awaitable<void> {
        auto exchange = co_await client.Open(server.endpoint(), HttpClient::ConnectionUse::kFresh,
                                             {seconds(2), seconds(2)});
        opened.set_value();
        // The server takes the second connection after it has reset the first one.
        auto second = co_await client.Open(server.endpoint(), HttpClient::ConnectionUse::kFresh,
                                           {seconds(2), seconds(2)});
        closed.get_future().wait_for(seconds(5));
        HttpRequest request{"POST", "/", {}, std::string(kMaxBody, 'x')};
        try {
          co_await exchange->SendRequest(std::move(request));
          co_await exchange->ReadHead();
        } catch (const ConnectFailed&) {
          unsent = true;
        } catch (const ExchangeBroken&) {
          unsent = false;
        }
      },
      boost::asio::detached);
  context.run();
  CHECK(unsent);
}

// Guards against a false proof: a peer that has read a part of the request may run it.
TEST_CASE("a connection that is reset after the first byte counts as broken") {
  RawServer server([](RawConnection& connection) {
    std::string bytes;
    connection.Receive(bytes);
    connection.ResetOnClose();
  });
  boost::asio::io_context context(1);
  HttpClient client(context, {});
  bool broken = false;
  boost::asio::co_spawn(
      context,
      [&]() -> boost::asio::awaitable<void> {
        auto exchange = co_await client.Open(server.endpoint(), HttpClient::ConnectionUse::kFresh,
                                             {seconds(2), seconds(2)});
        HttpRequest request{"POST", "/", {}, std::string(16'777'216, 'x')};
        try {
          co_await exchange->SendRequest(std::move(request));
          co_await exchange->ReadHead();
        } catch (const ExchangeBroken&) {
          broken = true;
        }
      },
      boost::asio::detached);
  context.run();
  CHECK(broken);
}

// A request that waits in the kernel, because a link is cut, would otherwise be delivered after its
// caller has left.
TEST_CASE("the connection of a cancelled exchange is reset, not closed") {
  std::promise<int> end;
  RawServer server([&](RawConnection& connection) {
    std::string bytes;
    ssize_t count = 1;
    while (count > 0) count = connection.Receive(bytes);
    end.set_value(count == 0 ? 0 : errno);
  });
  boost::asio::io_context context(1);
  HttpClient client(context, {});
  boost::asio::co_spawn(
      context,
      [&]() -> boost::asio::awaitable<void> {
        auto exchange = co_await client.Open(server.endpoint(), HttpClient::ConnectionUse::kFresh,
                                             {seconds(2), seconds(2)});
        HttpRequest request{"GET", "/", {}, ""};
        co_await exchange->SendRequest(std::move(request));
        exchange->Cancel();
      },
      boost::asio::detached);
  context.run();
  std::future<int> error = end.get_future();
  REQUIRE(error.wait_for(seconds(5)) == std::future_status::ready);
  CHECK(error.get() == ECONNRESET);
}

}  // namespace cornelrelay::net
