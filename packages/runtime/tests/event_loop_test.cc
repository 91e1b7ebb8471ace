#include "cornelrelay/runtime/event_loop.h"

#include <spdlog/sinks/ostream_sink.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/scope_exit.hpp>
#include <catch2/catch.hpp>
#include <chrono>
#include <memory>
#include <optional>
#include <set>
#include <sstream>
#include <stdexcept>
#include <utility>

#include "cornelrelay/net/errors.h"
#include "cornelrelay/net/http_client.h"
#include "cornelrelay/net/http_server.h"
#include "cornelrelay/net/rethrow_failure.h"
#include "cornelrelay/runtime/process_clock.h"
#include "cornelrelay/runtime/wake_timer.h"

namespace cornelrelay::runtime {
namespace {

namespace asio = boost::asio;

struct Fixture {
  std::ostringstream text;
  telemetry::JsonLog log{"test", telemetry::LogLevel::kError,
                         std::make_shared<spdlog::sinks::ostream_sink_mt>(text)};
};

}  // namespace

// Guards against a process that ends by itself when one handler or coroutine throws (review/2).
TEST_CASE("a handler that throws ends neither the loop nor the other handlers") {
  Fixture fixture;
  EventLoop loop(fixture.log);
  int handled = 0;
  asio::post(loop, [] { throw std::runtime_error("first fault"); });
  asio::post(loop, [&] { ++handled; });
  asio::co_spawn(
      loop,
      []() -> asio::awaitable<void> {
        throw std::runtime_error("second fault");
        co_return;
      },
      net::RethrowFailure{});
  asio::steady_timer timer(loop, std::chrono::milliseconds(5));
  timer.async_wait([&](const boost::system::error_code&) { ++handled; });
  loop.Run();
  fixture.log.Flush();
  CHECK(handled == 2);
  CHECK(fixture.text.str().find("first fault") != std::string::npos);
  CHECK(fixture.text.str().find("second fault") != std::string::npos);
}

// Guards against a periodic task that ends for good because one of its steps throws.
TEST_CASE("a timer whose function throws calls it again") {
  Fixture fixture;
  EventLoop loop(fixture.log);
  const ProcessClock clock;
  int calls = 0;
  std::optional<WakeTimer> timer;
  timer.emplace(loop, clock, [&] {
    if (++calls == 1) throw std::runtime_error("first call");
  });
  timer->SetAt(clock.Now());
  loop.Run();
  CHECK(calls == 2);
}

TEST_CASE("a function that destroys its timer and throws is not called again") {
  Fixture fixture;
  EventLoop loop(fixture.log);
  const ProcessClock clock;
  int calls = 0;
  std::optional<WakeTimer> timer;
  timer.emplace(loop, clock, [&] {
    ++calls;
    timer.reset();
    throw std::runtime_error("without a timer");
  });
  timer->SetAt(clock.Now());
  loop.Run();
  CHECK(calls == 1);
}

// Guards against callers that wait for the answer of a request whose handler has thrown.
TEST_CASE("a handler of a server that throws ends its connection") {
  Fixture fixture;
  EventLoop loop(fixture.log);
  const core::Endpoint endpoint{"127.0.0.1", 18'471};
  net::HttpServer server(loop, endpoint, {}, std::nullopt,
                         [](net::HttpRequest, net::ResponseStream&) -> asio::awaitable<void> {
                           throw std::runtime_error("fault of a handler");
                           co_return;
                         });
  server.Start();
  net::HttpClient client(loop, {});
  std::optional<net::BreakCause> cause;
  const auto ask = [&]() -> asio::awaitable<void> {
    net::HttpRequest request{"GET", "/", {}, ""};
    try {
      co_await client.Fetch(endpoint, std::move(request), std::chrono::seconds(5), 1024);
    } catch (const net::ExchangeBroken& error) {
      cause = error.cause();
    }
    loop.stop();
  };
  asio::co_spawn(loop, ask, net::RethrowFailure{});
  loop.Run();
  fixture.log.Flush();
  loop.DiscardHandlers();
  CHECK(cause == net::BreakCause::kConnection);
  CHECK(fixture.text.str().find("fault of a handler") != std::string::npos);
}

TEST_CASE("a stopped loop returns although handlers are left") {
  Fixture fixture;
  EventLoop loop(fixture.log);
  asio::post(loop, [&] {
    loop.stop();
    throw std::runtime_error("fault while stopping");
  });
  asio::post(loop, [] { FAIL("the loop went on"); });
  loop.Run();
  CHECK(loop.stopped());
}

// Guards against memory errors at the end of a process whose requests were still in progress: their
// coroutines outlived the objects that they refer to.
TEST_CASE("discarded coroutines end while what they refer to exists") {
  Fixture fixture;
  bool owner_alive = false;
  bool ended_in_time = false;
  {
    EventLoop loop(fixture.log);
    const auto owner = std::make_unique<std::set<int>>();
    owner_alive = true;
    BOOST_SCOPE_EXIT_ALL(&) { owner_alive = false; };
    BOOST_SCOPE_EXIT_ALL(&) { loop.DiscardHandlers(); };
    asio::steady_timer timer(loop, std::chrono::hours(1));
    const auto wait = [&]() -> asio::awaitable<void> {
      owner->insert(1);
      BOOST_SCOPE_EXIT_ALL(&) {
        owner->erase(1);
        ended_in_time = owner_alive;
      };
      co_await timer.async_wait(asio::use_awaitable);
    };
    asio::co_spawn(loop, wait, net::RethrowFailure{});
    asio::post(loop, [&] { loop.stop(); });
    loop.Run();
  }
  CHECK(ended_in_time);
}

}  // namespace cornelrelay::runtime
