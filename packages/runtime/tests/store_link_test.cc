// A store in trouble: answers that are cut off or are no valid HTTP.
#include "cornelrelay/runtime/store_link.h"

#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>
#include <memory>
#include <optional>
#include <string>
#include <variant>

#include "cornelrelay/net/testing/raw_server.h"
#include "cornelrelay/store/store_http_codec.h"

namespace cornelrelay::runtime {
namespace {

using net::testing::RawConnection;
using net::testing::RawServer;
using std::chrono::seconds;

constexpr store::LeaseNumber kLease = 7;

/// \brief The reply to the end of a lease, whose success has no body that could be checked.
store::StoreReply RevokeLease(const std::string& answer) {
  const RawServer server([&](RawConnection& connection) {
    std::string request;
    connection.Receive(request);
    connection.Send(answer);
  });
  boost::asio::io_context context(1);
  const ProcessClock clock;
  net::HttpClient client(context, {});
  const store::StoreHttpCodec codec;
  store::StoreClientOptions options;
  options.call_timeout = seconds(2);
  const auto link =
      std::make_shared<StoreLink>(context, clock, client, codec, server.endpoint(), options, 1);
  std::optional<store::StoreReply> reply;
  link->Call(store::LeaseRevoke{kLease}, [&](const store::StoreReply& r) {
    reply = r;
    context.stop();
  });
  context.run_for(seconds(10));
  REQUIRE(reply);
  return *reply;
}

const std::string kSuccess = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}";

}  // namespace

TEST_CASE("the store's success is taken after an interim response") {
  CHECK(RevokeLease("HTTP/1.1 100 Continue\r\n\r\n" + kSuccess) ==
        store::StoreReply(store::LeaseExpired{kLease}));
}

// Guards against a call that counts as done because of bytes that are no answer (issue 46).
TEST_CASE("an invalid answer of the store is no reply") {
  const std::string head = GENERATE(
      as<std::string>{}, "HTTP/1.1 000 None\r\nContent-Length: 40\r\n",
      "HTTP/1.1 600 Odd\r\nContent-Length: 40\r\n", "HTTP/1.1 101 Switch\r\nUpgrade: other\r\n",
      "HTTP/1.1 103 Hints\r\nContent-Length: 40\r\n",
      "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\n",
      "HTTP/1.1 200 OK\r\nContent-Length : 40\r\n",
      "HTTP/1.1 200 OK\r\nX-First: 1\r\n Content-Length: 90\r\n");
  CAPTURE(head);
  CHECK(RevokeLease(head + "\r\n" + kSuccess) == store::StoreReply(store::TimedOut{}));
}

}  // namespace cornelrelay::runtime
