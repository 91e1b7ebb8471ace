#include "cornelrelay/limits/caller_memory.h"

#include <catch2/catch.hpp>

namespace cornelrelay::limits {
namespace {

using Actions = std::vector<CallerMemoryAction>;

core::Instant At(std::int64_t milliseconds) {
  return core::Instant(std::chrono::milliseconds(milliseconds));
}

CallerMemoryLimits SomeLimits() {
  CallerMemoryLimits limits;
  limits.head_bytes = 100;
  limits.with_key_bytes = 1000;
  limits.without_key_bytes = 500;
  limits.small_with_key_bytes = 50;
  limits.small_without_key_bytes = 20;
  limits.small_body = 10;
  limits.stall_time = std::chrono::milliseconds(100);
  return limits;
}

constexpr auto kWithKey = CallerBytes::kBodyWithKey;
constexpr auto kWithoutKey = CallerBytes::kBodyWithoutKey;

}  // namespace

// Guards against bodies that never end and hold the memory for as long as they are connected.
TEST_CASE("the connection that stalls longest with most bytes is ended first") {
  CallerMemory memory(SomeLimits());
  CHECK(memory.Step(At(0), HoldBytes{1, kWithKey, 300}) == Actions{BytesHeld{}});
  CHECK(memory.Step(At(0), HoldBytes{2, kWithKey, 400}) == Actions{BytesHeld{}});
  CHECK(memory.Step(At(0), HoldBytes{3, kWithKey, 300}) == Actions{BytesHeld{}});
  CHECK(memory.Step(At(50), HoldBytes{4, kWithKey, 300}) == Actions{BytesRefused{}});
  memory.Step(At(150), BytesArrived{2});
  CHECK(memory.Step(At(200), HoldBytes{4, kWithKey, 500}) ==
        Actions{EndConnection{1}, EndConnection{3}, BytesHeld{}});
  CHECK(memory.used() == 900);
}

// Guards against connections that are ended although the request does not fit even then.
TEST_CASE("nobody is ended for a request that does not fit") {
  CallerMemory memory(SomeLimits());
  memory.Step(At(0), HoldBytes{1, kWithKey, 300});
  memory.Step(At(0), HoldBytes{2, kWithKey, 600});
  memory.Step(At(0), RequestComplete{2});
  CHECK(memory.Step(At(900), HoldBytes{3, kWithKey, 500}) == Actions{BytesRefused{}});
  CHECK(memory.used() == 900);
}

// Guards against small requests that are refused because of large ones, and against callers with a
// key that pay for those without.
TEST_CASE("small bodies and bodies without a key have memory of their own") {
  CallerMemory memory(SomeLimits());
  CHECK(memory.Step(At(0), HoldBytes{1, kWithKey, 1000}) == Actions{BytesHeld{}});
  CHECK(memory.Step(At(0), HoldBytes{2, kWithoutKey, 500}) == Actions{BytesHeld{}});
  CHECK(memory.Step(At(0), HoldBytes{3, kWithKey, 10}) == Actions{BytesHeld{}});
  CHECK(memory.Step(At(0), HoldBytes{4, kWithoutKey, 10}) == Actions{BytesHeld{}});
  CHECK(memory.Step(At(0), HoldBytes{5, kWithoutKey, 10}) == Actions{BytesHeld{}});
  CHECK(memory.Step(At(0), HoldBytes{6, kWithoutKey, 10}) == Actions{BytesRefused{}});
  CHECK(memory.Step(At(0), HoldBytes{7, kWithKey, 10}) == Actions{BytesHeld{}});
  CHECK(memory.Step(At(0), HoldBytes{8, CallerBytes::kHead, 100}) == Actions{BytesHeld{}});
}

// Guards against bytes that stay reserved after their request, or are counted in two pools.
TEST_CASE("bytes are given back when they are released or a body outgrows its pool") {
  CallerMemory memory(SomeLimits());
  memory.Step(At(0), HoldBytes{1, kWithKey, 10});
  memory.Step(At(0), HoldBytes{1, kWithKey, 30});
  CHECK(memory.used() == 30);
  memory.Step(At(0), HoldBytes{1, kWithKey, 20});
  CHECK(memory.used() == 20);
  memory.Step(At(0), ReleaseBytes{1});
  CHECK(memory.used() == 0);
}

TEST_CASE("a body of the largest size fits into every pool for bodies") {
  const CallerMemoryLimits limits = CallerMemoryLimitsOf(16 << 20, 4 << 20);
  CHECK(limits.with_key_bytes >= 2 * (4 << 20));
  CHECK(limits.without_key_bytes >= 2 * (4 << 20));
}

}  // namespace cornelrelay::limits
