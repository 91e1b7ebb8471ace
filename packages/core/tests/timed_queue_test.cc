#include "cornelrelay/core/timed_queue.h"

#include <catch2/catch.hpp>
#include <string>

namespace cornelrelay::core {
namespace {

using std::chrono::milliseconds;

}  // namespace

TEST_CASE("events come by time, those of one instant in the order of their pushes") {
  TimedQueue<std::string> queue;
  const Instant start = queue.now();
  queue.Push(start + milliseconds(2), "c");
  queue.Push(start + milliseconds(1), "a");
  queue.Push(start + milliseconds(1), "b");
  queue.Push(start + milliseconds(4), "later");
  std::string seen;
  queue.RunUntil(start + milliseconds(3), [&](const std::string& event) {
    seen += event;
    if (event == "b") queue.Push(queue.now(), "d");
  });
  CHECK(seen == "abdc");
  CHECK(queue.now() == start + milliseconds(3));
}

}  // namespace cornelrelay::core
