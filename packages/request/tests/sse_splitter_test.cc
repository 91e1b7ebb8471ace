#include "cornelrelay/request/sse_splitter.h"

#include <catch2/catch.hpp>
#include <vector>

#include "cornelrelay/request/sse_event_too_large.h"

namespace cornelrelay::request {

// Guards against events that depend on how TCP splits the bytes.
TEST_CASE("events are split at their empty line wherever the received bytes are split") {
  const std::string first = "id: 7\ndata: a\n\n";
  const std::string second = "id: 8\r\ndata: b\r\n\r\n";
  const std::string bytes = first + second + "id: 9\nda";
  for (std::size_t size = 1; size < bytes.size(); ++size) {
    SseSplitter splitter(1000);
    std::vector<std::string> events;
    for (std::size_t at = 0; at < bytes.size(); at += size) {
      splitter.Feed(std::string_view(bytes).substr(at, size));
      while (auto event = splitter.Next()) events.push_back(*event);
    }
    CHECK(events == std::vector<std::string>{first, second});
    CHECK(splitter.HasPartialEvent());
  }
}

// Guards against unbounded memory for an event that never ends.
TEST_CASE("an event without an end is rejected at the size limit") {
  SseSplitter splitter(100);
  splitter.Feed(std::string(101, 'x'));
  CHECK_THROWS_AS(splitter.Next(), SseEventTooLarge);
}

// Guards against resuming a stream at a wrong position because an id was misread.
TEST_CASE("the id of an event is a decimal number or missing") {
  CHECK(ParseEventId("id: 12\ndata: x\n\n") == 12);
  CHECK(ParseEventId("weights: 3\nid:12\r\ndata: x\n\n") == 12);
  CHECK_FALSE(ParseEventId("data: id: 12\n\n"));
  CHECK_FALSE(ParseEventId("id: 12a\n\n"));
  CHECK_FALSE(ParseEventId(""));
}

}  // namespace cornelrelay::request
