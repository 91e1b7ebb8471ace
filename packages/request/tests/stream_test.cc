#include <rapidcheck.h>

#include <catch2/catch.hpp>

#include "cornelrelay/request/answer_verifier.h"
#include "cornelrelay/request/sse_event_too_large.h"
#include "cornelrelay/request/sse_parser.h"
#include "cornelrelay/request/stream_verifier.h"
#include "fake_upstream.h"

namespace cornelrelay::request {
namespace {

const core::AttemptId kAttempt("a-1");

SseEvent Chunk(int sequence, bool last = false, const std::string& id = "a-1") {
  return {"", std::to_string(sequence), ChunkJson(id, "x", last)};
}
const SseEvent kDone{"", "", "[DONE]"};

std::vector<SseEvent> ParseAll(SseParser& parser) {
  std::vector<SseEvent> events;
  while (auto event = parser.Next()) events.push_back(*event);
  return events;
}

}  // namespace

// Guards against events that depend on how TCP splits the bytes, and against line ends that are not
// recognised.
TEST_CASE("server-sent events are parsed wherever the received bytes are split") {
  const std::string text =
      "\xEF\xBB\xBF: note\r\nid: 1\r\ndata: a\r\ndata:b\r\n\r\nretry: 5\nevent: error\ndata\n\n"
      "id: 3\n\ndata: c\r\rdata: cut\n";
  const std::vector<SseEvent> expected{{"", "1", "a\nb"}, {"error", "", ""}, {"", "", "c"}};
  CHECK(rc::check([&] {
    SseParser parser(64);
    std::vector<SseEvent> events;
    for (std::size_t at = 0; at < text.size();) {
      const auto piece = *rc::gen::inRange<std::size_t>(1, 9);
      parser.Feed(std::string_view(text).substr(at, piece));
      at += piece;
      for (auto& event : ParseAll(parser)) events.push_back(event);
    }
    RC_ASSERT(events == expected);
    RC_ASSERT(parser.HasPartialEvent());
  }));
}

// Guards against unbounded memory for an event that never ends, and against losing the events
// before it.
TEST_CASE("an oversized event is a typed error after the events before it") {
  SseParser parser(10);
  parser.Feed("data: ok\n\ndata: far too long\n\ndata: x\n\n");
  CHECK(parser.Next() == SseEvent{"", "", "ok"});
  CHECK_THROWS_AS(parser.Next(), SseEventTooLarge);
  SseParser short_lines(10);
  for (int i = 0; i < 20; ++i) short_lines.Feed(":\n");
  CHECK_THROWS_AS(short_lines.Next(), SseEventTooLarge);
}

// Guards against forwarding a stream with a lost or repeated event or with data of another request.
TEST_CASE("stream events are checked against their attempt") {
  StreamVerifier verifier(kAttempt);
  CHECK(std::holds_alternative<Accepted>(verifier.Check(Chunk(1))));
  CHECK(verifier.Check(Chunk(1)) == StreamVerdict(Duplicate{1}));
  CHECK(verifier.Check(Chunk(2, false, "a-2")) == StreamVerdict(Foreign{"a-2"}));
  CHECK(verifier.Check(Chunk(3)) == StreamVerdict(Gap{2, 3}));
  CHECK(verifier.Check(kDone) == StreamVerdict(Truncated{1}));
  CHECK(verifier.Close() == StreamVerdict(Truncated{1}));
  CHECK(std::holds_alternative<Malformed>(verifier.Check({"", "2", "{"})));
  CHECK(std::holds_alternative<Malformed>(verifier.Check({"", "", ChunkJson("a-1", "x", false)})));
  CHECK(std::holds_alternative<Accepted>(verifier.Check(Chunk(2, true))));
  CHECK(verifier.Check(kDone) == StreamVerdict(End{}));
  CHECK(verifier.Close() == StreamVerdict(End{}));
}

// Guards against joining two attempts when the second ignored Last-Event-ID and started over.
TEST_CASE("a resumed stream must continue at its position") {
  StreamVerifier first(kAttempt);
  first.Check(Chunk(1));
  first.Check(Chunk(2, true));
  StreamVerifier restarted(core::AttemptId("a-2"), first.position());
  CHECK(restarted.Check(Chunk(1, false, "a-2")) == StreamVerdict(Gap{3, 1}));
  StreamVerifier resumed(core::AttemptId("a-2"), first.position());
  CHECK(resumed.Check(kDone) == StreamVerdict(End{}));
}

// Guards against forwarding a truncated answer or the answer to another request.
TEST_CASE("whole answers are checked by id, finish_reason and length") {
  const std::string body = ChunkJson("a-1", "x", true);
  const auto length = body.size();
  CHECK(CheckModelAnswer(kAttempt, length, body) == StreamVerdict(End{}));
  CHECK(CheckModelAnswer(kAttempt, length + 1, body) == StreamVerdict(Truncated{}));
  CHECK(CheckModelAnswer(kAttempt, {}, ChunkJson("a-1", "x", false)) == StreamVerdict(Truncated{}));
  CHECK(CheckModelAnswer(kAttempt, {}, ChunkJson("b-1", "x", true)) ==
        StreamVerdict(Foreign{"b-1"}));
  CHECK(std::holds_alternative<Malformed>(CheckModelAnswer(kAttempt, length - 1, body)));
  CHECK(std::holds_alternative<Malformed>(CheckModelAnswer(kAttempt, {}, R"({"id":"a-1"})")));
  CHECK(CheckPlainAnswer(kAttempt, 3, 3, "a-1") == StreamVerdict(End{}));
  CHECK(CheckPlainAnswer(kAttempt, 3, 2, {}) == StreamVerdict(Truncated{}));
  CHECK(CheckPlainAnswer(kAttempt, 3, 3, "b-1") == StreamVerdict(Foreign{"b-1"}));
}

}  // namespace cornelrelay::request
