#include "connection_pool.h"

#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>
#include <chrono>
#include <memory>
#include <thread>

namespace cornelrelay::net::internal {
namespace {

using std::chrono::milliseconds;

ConnectionPtr NewConnection(boost::asio::io_context& context) {
  return std::make_unique<PooledConnection>(boost::beast::tcp_stream(context), 1024);
}

}  // namespace

// Guards against a process that runs out of descriptors: idle connections to upstreams that have
// left were kept for good (review/1).
TEST_CASE("idle connections to peers that are not called any more are closed") {
  boost::asio::io_context context;
  HttpClientLimits limits;
  limits.idle_time = milliseconds(100);
  ConnectionPool pool(limits);
  for (std::uint16_t port = 1; port <= 50; ++port) {
    pool.Return({"10.0.0.1", port}, NewConnection(context), std::nullopt);
  }
  CHECK(pool.size() == 50);
  std::this_thread::sleep_for(milliseconds(1'100));
  SECTION("when a connection is returned") {
    pool.Return({"10.0.0.2", 1}, NewConnection(context), std::nullopt);
    CHECK(pool.size() == 1);
  }
  SECTION("when a connection is asked for") {
    CHECK_FALSE(pool.Take({"10.0.0.2", 1}, HttpClient::ConnectionUse::kReuse));
    CHECK(pool.size() == 0);
  }
}

TEST_CASE("a connection that its peer keeps for longer is kept") {
  boost::asio::io_context context;
  HttpClientLimits limits;
  limits.idle_time = milliseconds(100);
  ConnectionPool pool(limits);
  pool.Return({"10.0.0.1", 1}, NewConnection(context), std::chrono::seconds(30));
  std::this_thread::sleep_for(milliseconds(1'100));
  pool.Return({"10.0.0.2", 1}, NewConnection(context), std::nullopt);
  CHECK(pool.size() == 2);
}

}  // namespace cornelrelay::net::internal
