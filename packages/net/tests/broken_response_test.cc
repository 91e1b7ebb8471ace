// Servers in trouble send responses that are cut off or are no valid HTTP.
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>
#include <chrono>
#include <optional>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "cornelrelay/net/errors.h"
#include "cornelrelay/net/http_client.h"
#include "cornelrelay/net/testing/raw_server.h"
#include "pieces.h"

namespace cornelrelay::net {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using testing::RawConnection;
using testing::RawServer;

constexpr seconds kTimeout{10};
/// A response that is known to be broken is reported without waiting for the timeout.
constexpr seconds kAtOnce{2};
/// More than the kernel buffers of both sides hold.
constexpr std::size_t kLongUpload = 16'777'216;
constexpr int kSmallReceiveBuffer = 4'096;
/// Time for sent bytes to arrive before the connection is reset.
constexpr milliseconds kDelivery{50};
/// Time for the bytes of one piece to be read before the next.
constexpr milliseconds kBetweenPieces{10};

struct Outcome {
  std::optional<HttpResponse> response;
  std::optional<BreakCause> cause;
  std::chrono::steady_clock::duration time{};
};

Outcome FetchFrom(const RawServer& server, std::size_t upload = 0) {
  Outcome outcome;
  boost::asio::io_context context(1);
  HttpClient client(context, {});
  const auto start = std::chrono::steady_clock::now();
  boost::asio::co_spawn(
      context,
      [&]() -> boost::asio::awaitable<void> {
        HttpRequest request{"POST", "/", {}, std::string(upload, 'x')};
        try {
          outcome.response = co_await client.Fetch(server.endpoint(), std::move(request), kTimeout);
        } catch (const ExchangeBroken& error) {
          outcome.cause = error.cause();
        }
      },
      boost::asio::detached);
  context.run();
  outcome.time = std::chrono::steady_clock::now() - start;
  return outcome;
}

/// \brief The outcome of a request to a server that sends `bytes` and ends the connection.
Outcome FetchBytes(const std::string& bytes) {
  const RawServer server([&](RawConnection& connection) {
    std::string request;
    if (connection.Receive(request) > 0) connection.Send(bytes);
  });
  return FetchFrom(server);
}

/// \brief The outcome of a request to a server that sends pieces one by one and ends the
/// connection.
Outcome FetchPieces(const std::vector<std::string>& pieces) {
  const RawServer server([&](RawConnection& connection) {
    std::string request;
    if (connection.Receive(request) <= 0) return;
    for (const std::string& piece : pieces) {
      connection.Send(piece);
      std::this_thread::sleep_for(kBetweenPieces);
    }
  });
  return FetchFrom(server);
}

/// \brief The outcome of an upload whose connection is reset in its midst, just after `bytes`.
Outcome UploadUntilReset(const std::string& bytes, bool with_linger) {
  const RawServer server(
      [&](RawConnection& connection) {
        std::string part;
        connection.Receive(part);
        connection.Send(bytes);
        std::this_thread::sleep_for(kDelivery);
        // Without it the kernel resets the connection because of the unread bytes.
        if (with_linger) connection.ResetOnClose();
      },
      kSmallReceiveBuffer);
  return FetchFrom(server, kLongUpload);
}

std::string WithLength(const std::string& body) {
  return "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

const std::string kInnerResponse = "HTTP/1.1 200 OK\r\n" + WithLength("inner");

/// \brief Lines that are no header field because of the bytes of their name. Those that begin with
/// a blank continue the field before them in an obsolete way.
std::vector<std::string> LinesWithInvalidName() {
  std::vector<std::string> lines = {
      "X Name: 1",  "X\tName: 1",  "X-Name : 1",          "X-Name\t: 1",
      ": 1",        "X-Name",      "Content-Length : 4",  "Transfer-Encoding\t: chunked",
      " X-Name: 1", "\tX-Name: 1", " Content-Length: 40", " ",
      "\t"};
  for (int byte = 0; byte <= 0x7f; ++byte) {
    const char c = static_cast<char>(byte);
    if (byte < 0x20 || byte == 0x7f) lines.push_back(std::string("X") + c + "Name: 1");
  }
  return lines;
}

}  // namespace

// Guards against a part of a response that is taken for a complete one: the failed write takes the
// error of the connection, and the read then reports a regular end.
TEST_CASE("a response without length is broken if its connection is reset during the upload") {
  const std::string head =
      GENERATE("HTTP/1.1 200 OK\r\n\r\n", "HTTP/1.0 200 OK\r\n\r\n",
               "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nConnection: close\r\n\r\n");
  const std::size_t length = GENERATE(std::size_t{16}, std::size_t{60'000});
  const bool with_linger = GENERATE(true, false);
  CAPTURE(head, length, with_linger);
  const Outcome outcome = UploadUntilReset(head + std::string(length, 'y'), with_linger);
  CHECK_FALSE(outcome.response);
  CHECK(outcome.cause == BreakCause::kConnection);
  CHECK(outcome.time < kAtOnce);
}

TEST_CASE("a response is broken if its connection is reset during the upload before its end") {
  const std::string response =
      GENERATE("HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\npart",
               "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\npart\r\n");
  CAPTURE(response);
  const Outcome outcome = UploadUntilReset(response, true);
  CHECK_FALSE(outcome.response);
  CHECK(outcome.cause == BreakCause::kConnection);
}

// Guards against the loss of an early refusal, which a server may send without reading the upload.
TEST_CASE("a whole response is kept if its connection is reset during the upload") {
  const std::string response = GENERATE(
      "HTTP/1.1 413 Too Large\r\nContent-Length: 5\r\n\r\nlarge",
      "HTTP/1.1 413 Too Large\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nlarge\r\n0\r\n\r\n");
  CAPTURE(response);
  const Outcome outcome = UploadUntilReset(response, true);
  REQUIRE(outcome.response);
  CHECK(outcome.response->status == 413);
  CHECK(outcome.response->body == "large");
}

TEST_CASE("a response without length that ends before the upload does is complete") {
  const RawServer server(
      [](RawConnection& connection) {
        std::string part;
        connection.Receive(part);
        connection.Send("HTTP/1.1 200 OK\r\n\r\nwhole");
        connection.EndSending();
        while (connection.Receive(part) > 0) {
        }
      },
      kSmallReceiveBuffer);
  const Outcome outcome = FetchFrom(server, kLongUpload);
  REQUIRE(outcome.response);
  CHECK(outcome.response->body == "whole");
}

// Guards against a response with an invalid status that is passed on, and against one that counts
// as interim, so that the client waits for another or takes the body for it.
TEST_CASE("a response with an invalid status is broken at once") {
  const std::string status =
      GENERATE("000", "001", "099", "600", "999", "20", "2000", "-20", "2x0");
  const std::string body = GENERATE(as<std::string>{}, "hello", kInnerResponse);
  CAPTURE(status, body);
  const RawServer server([&](RawConnection& connection) {
    std::string request;
    connection.Receive(request);
    connection.Send("HTTP/1.1 " + status + " Odd\r\n" + WithLength(body));
    // Ends when the client closes.
    connection.Receive(request);
  });
  const Outcome outcome = FetchFrom(server);
  CHECK_FALSE(outcome.response);
  CHECK(outcome.cause == BreakCause::kMalformed);
  CHECK(outcome.time < kAtOnce);
}

// Guards against bytes of another protocol that are taken for a response. No request asks for a
// switch.
TEST_CASE("a switch of protocols is no interim response") {
  const Outcome outcome = FetchBytes(
      "HTTP/1.1 101 Switching Protocols\r\nConnection: upgrade\r\nUpgrade: other\r\n\r\n" +
      kInnerResponse);
  CHECK_FALSE(outcome.response);
  CHECK(outcome.cause == BreakCause::kUnexpected);
}

// Guards against a body that is taken for the next response.
TEST_CASE("an interim response that announces a body is broken") {
  const std::string announced =
      GENERATE(as<std::string>{}, "Content-Length: 44", "Transfer-Encoding: chunked");
  CAPTURE(announced);
  const Outcome outcome =
      FetchBytes("HTTP/1.1 103 Early Hints\r\n" + announced + "\r\n\r\n" + kInnerResponse);
  CHECK_FALSE(outcome.response);
  CHECK(outcome.cause == BreakCause::kUnexpected);
}

TEST_CASE("interim responses before the final one are skipped") {
  const std::string interim = GENERATE(
      "HTTP/1.1 100 Continue\r\n\r\n", "HTTP/1.1 100 Continue\r\nContent-Length: 0\r\n\r\n",
      "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n", "HTTP/1.1 199 Other\r\n\r\n");
  CAPTURE(interim);
  const Outcome outcome = FetchBytes(interim + interim + kInnerResponse);
  REQUIRE(outcome.response);
  CHECK(outcome.response->status == 200);
  CHECK(outcome.response->body == "inner");
}

// Guards against a line that is passed on, or ignored so that the body has another length.
TEST_CASE("a response whose head has a field with an invalid name is broken at once") {
  for (const std::string& line : LinesWithInvalidName()) {
    for (const std::string& head :
         {"HTTP/1.1 200 OK\r\n" + line + "\r\n",
          "HTTP/1.1 200 OK\r\nX-First: 1\r\n" + line + "\r\n",
          "HTTP/1.1 103 Early Hints\r\n" + line + "\r\n\r\nHTTP/1.1 200 OK\r\n",
          "HTTP/1.1 103 Early Hints\r\nX-First: 1\r\n" + line + "\r\n\r\nHTTP/1.1 200 OK\r\n",
          "HTTP/1.1 200 OK\r\nX-Empty:\r\n" + line + "\r\n"}) {
      const Outcome outcome = FetchBytes(head + WithLength("body"));
      CAPTURE(head);
      CHECK_FALSE(outcome.response);
      CHECK(outcome.cause == BreakCause::kMalformed);
      CHECK(outcome.time < kAtOnce);
    }
  }
}

// Guards against a folded line that is not seen because it arrives in parts, and against a body
// that is searched for one.
TEST_CASE("a head that arrives in parts is checked like one that arrives at once") {
  const std::string head = "HTTP/1.1 200 OK\r\nX-First: 1\r\n";
  const bool folded = GENERATE(true, false);
  const std::string response =
      head + (folded ? " X-Name: 1\r\n" : "") + WithLength("a\r\n b\r\n\tc\r\n\r\n d");
  const std::size_t size = GENERATE(std::size_t{1}, std::size_t{2}, std::size_t{5});
  CAPTURE(folded, size);
  const RawServer server([&](RawConnection& connection) {
    std::string request;
    connection.Receive(request);
    bool open = true;
    for (std::size_t at = 0; open && at < response.size(); at += size) {
      open = connection.Send(response.substr(at, size));
      std::this_thread::sleep_for(milliseconds(1));
    }
  });
  const Outcome outcome = FetchFrom(server);
  CHECK(outcome.response.has_value() == !folded);
  if (outcome.response) CHECK(outcome.response->body == "a\r\n b\r\n\tc\r\n\r\n d");
}

TEST_CASE("a response whose trailers have a field with an invalid name is broken at once") {
  for (const std::string& line : LinesWithInvalidName()) {
    const Outcome outcome =
        FetchBytes("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n" +
                   line + "\r\n\r\n");
    CAPTURE(line);
    CHECK_FALSE(outcome.response);
    CHECK(outcome.cause == BreakCause::kMalformed);
    CHECK(outcome.time < kAtOnce);
  }
}

// Guards against coded bytes that are passed on without their coding, and against an end that is
// trusted although nothing but the connection shows it.
TEST_CASE("a response in an unknown transfer coding is broken") {
  const std::string coding =
      GENERATE(as<std::string>{}, "gzip", "gzip, chunked", "chunked, gzip", "xchunked", "identity");
  CAPTURE(coding);
  const Outcome outcome = FetchBytes("HTTP/1.1 200 OK\r\nTransfer-Encoding: " + coding +
                                     "\r\n\r\n4\r\nbody\r\n0\r\n\r\n");
  CHECK_FALSE(outcome.response);
  CHECK(outcome.cause == BreakCause::kMalformed);
}

// Guards against an assertion of the parser that ends the process, and against such a response
// being taken for a broken one.
TEST_CASE("an empty chunked response is complete in any pieces") {
  for (const auto& pieces : AllDivisions("0\r\n\r\n")) {
    std::vector<std::string> all = {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"};
    all.insert(all.end(), pieces.begin(), pieces.end());
    const Outcome outcome = FetchPieces(all);
    REQUIRE(outcome.response);
    CHECK(outcome.response->body.empty());
  }
}

// Guards against an assertion of the parser that ends the process at a truncated response.
TEST_CASE("an empty chunked response that is cut inside its end is broken at once") {
  const std::string end = "0\r\n\r\n";
  for (std::size_t size = 0; size < end.size(); ++size) {
    for (const auto& pieces : AllDivisions(end.substr(0, size))) {
      std::vector<std::string> all = {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"};
      all.insert(all.end(), pieces.begin(), pieces.end());
      const Outcome outcome = FetchPieces(all);
      CHECK(outcome.cause == BreakCause::kConnection);
      CHECK(outcome.time < kAtOnce);
    }
  }
}

}  // namespace cornelrelay::net
