#include "put_body.h"

#include <rapidcheck/catch.h>

#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <catch2/catch.hpp>
#include <string>
#include <string_view>
#include <vector>

#include "pieces.h"

namespace cornelrelay::net::internal {
namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using boost::system::error_code;
using std::string_literals::operator""s;

struct Parsed {
  bool done = false;
  error_code error;
  std::string body;
  std::size_t unused = 0;  ///< bytes that the parser has left in the buffer
};

/// \brief Puts the pieces one at a time, each as soon as the parser needs more bytes.
Parsed ParseRequest(const std::vector<std::string>& pieces) {
  constexpr std::string_view kHead = "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n";
  Parsed parsed;
  http::request_parser<http::string_body> parser;
  parser.put(asio::buffer(kHead.data(), kHead.size()), parsed.error);
  REQUIRE(parser.is_header_done());
  parser.eager(true);
  boost::beast::flat_buffer buffer;
  std::size_t used = 0;
  for (const std::string& piece : pieces) {
    buffer.commit(asio::buffer_copy(buffer.prepare(piece.size()), asio::buffer(piece)));
    if (parser.is_done()) continue;
    used += PutBody(parser, buffer, used, parsed.error);
    if (parsed.error == http::error::need_more) parsed.error = {};
    if (parsed.error) break;
  }
  parsed.done = parser.is_done();
  parsed.body = parser.get().body();
  parsed.unused = buffer.size();
  return parsed;
}

/// \brief The payload that the parser gives out one element at a time, as for a response.
Parsed ParseResponse(const std::vector<std::string>& pieces) {
  constexpr std::string_view kHead = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
  Parsed parsed;
  http::response_parser<http::buffer_body> parser;
  parser.put(asio::buffer(kHead.data(), kHead.size()), parsed.error);
  REQUIRE(parser.is_header_done());
  boost::beast::flat_buffer buffer;
  std::size_t used = 0;
  for (const std::string& piece : pieces) {
    buffer.commit(asio::buffer_copy(buffer.prepare(piece.size()), asio::buffer(piece)));
    while (!parser.is_done() && !parsed.error) {
      std::string room(7, '\0');
      parser.get().body().data = room.data();
      parser.get().body().size = room.size();
      used += PutBody(parser, buffer, used, parsed.error);
      parsed.body += room.substr(0, room.size() - parser.get().body().size);
      if (parsed.error == http::error::need_buffer) parsed.error = {};
    }
    if (parsed.error == http::error::need_more) parsed.error = {};
    if (parsed.error) break;
  }
  parsed.done = parser.is_done();
  parsed.unused = buffer.size();
  return parsed;
}

std::string InChunks(const std::vector<std::string>& chunks) {
  constexpr std::string_view kDigits = "0123456789abcdef";
  std::string text;
  for (const std::string& chunk : chunks) {
    text += kDigits.at(chunk.size());
    text += "\r\n" + chunk + "\r\n";
  }
  return text + "0\r\n\r\n";
}

std::vector<std::string> Divide(const std::string& text, const std::vector<std::size_t>& sizes) {
  std::vector<std::string> pieces;
  std::size_t at = 0;
  for (std::size_t n = 0; at < text.size(); ++n) {
    const std::size_t size = sizes.empty() ? 1 : sizes[n % sizes.size()];
    pieces.push_back(text.substr(at, size));
    at += size;
  }
  return pieces;
}

rc::Gen<std::vector<std::size_t>> PieceSizes() {
  return rc::gen::container<std::vector<std::size_t>>(rc::gen::inRange<std::size_t>(1, 5));
}

/// \brief Texts of the bytes that mean something between chunks.
rc::Gen<std::string> FramingBytes() {
  return rc::gen::container<std::string>(rc::gen::elementOf("0001a\r\r\n\n\r\n;:= \tx\"\0"s));
}

}  // namespace

// Guards against an assertion of the parser that depends on where a body is divided.
TEST_CASE("the end of an empty chunked body is parsed in any pieces") {
  for (const std::string end : {"0\r\n\r\n", "00\r\n\r\n", "0;x\r\n\r\n", "0\r\nA: b\r\n\r\n"}) {
    for (const auto& pieces : AllDivisions(end)) {
      for (const Parsed& parsed : {ParseRequest(pieces), ParseResponse(pieces)}) {
        CHECK(parsed.done);
        CHECK(parsed.body.empty());
        CHECK(parsed.unused == 0);
      }
    }
  }
}

// Guards against payload that is held back because it looks like the end of a body.
TEST_CASE("payload that looks like the end of a body is passed on at once") {
  CHECK(ParseRequest({"3\r\n", "0\r\n"}).body == "0\r\n");
  CHECK(ParseResponse({"3\r\n", "0\r\n"}).body == "0\r\n");
  CHECK(ParseResponse({"5\r\n", "0\r\n", "\r"}).body == "0\r\n\r");
}

// Guards against a damaged body that is waited for although its fault is known.
TEST_CASE("what is no chunk is an error at once") {
  CHECK(ParseRequest({"z\r\n"}).error == http::error::bad_chunk);
  CHECK(ParseRequest({"0\rz"}).error);
  CHECK(ParseRequest({"0\r\n", "z", "z\r\n\r\n"}).error);
}

TEST_CASE("a chunked body is parsed alike in any pieces") {
  rc::prop("payload and end", [] {
    const auto bytes = rc::gen::container<std::string>(rc::gen::elementOf(std::string("0\r\nx")));
    const auto chunk =
        rc::gen::suchThat(bytes, [](const std::string& s) { return !s.empty() && s.size() < 16; });
    const auto chunks = *rc::gen::resize(12, rc::gen::container<std::vector<std::string>>(chunk));
    std::string payload;
    for (const std::string& part : chunks) payload += part;
    const auto pieces = Divide(InChunks(chunks), *PieceSizes());
    for (const Parsed& parsed : {ParseRequest(pieces), ParseResponse(pieces)}) {
      RC_ASSERT(parsed.done);
      RC_ASSERT(parsed.body == payload);
      RC_ASSERT(parsed.unused == 0U);
    }
  });
}

// Guards against bytes of a peer that decide about an assertion of the process.
TEST_CASE("bytes that look like the framing of chunks end as a body, an error or a wait") {
  rc::prop("in any pieces", [] {
    const std::string text = *FramingBytes();
    const auto pieces = Divide(text, *PieceSizes());
    const Parsed whole = ParseRequest({text});
    const Parsed request = ParseRequest(pieces);
    const Parsed response = ParseResponse(pieces);
    RC_ASSERT(request.done == whole.done);
    RC_ASSERT(request.error == whole.error);
    RC_ASSERT(response.done == whole.done);
    RC_ASSERT(response.body == whole.body);
  });
}

}  // namespace cornelrelay::net::internal
