#include <rapidcheck.h>

#include <catch2/catch.hpp>

#include "cornelrelay/core/random.h"
#include "request_world.h"

namespace cornelrelay::request {
namespace {

using std::chrono::milliseconds;

WorldSettings AnySettings(Tape& tape) {
  WorldSettings settings;
  settings.policy.idempotent = tape.Below(2) == 1;
  settings.policy.key_required = tape.OneIn(4);
  settings.policy.max_attempts = 1 + static_cast<int>(tape.Below(4));
  settings.policy.deadline = milliseconds(500);
  settings.policy.claim_timeout = milliseconds(100);
  settings.facts = {core::RequestId("r"), "e1-1-1", tape.Below(2) == 1, true};
  settings.facts.resumable = !tape.OneIn(4);
  settings.answer_length = settings.facts.resumable ? 1 + tape.Below(5) : 1;
  return settings;
}

RequestWorld AnyWorld(std::vector<std::uint8_t> choices, InjectedFault fault) {
  Tape tape(std::move(choices));
  WorldSettings settings = AnySettings(tape);
  return {std::move(settings), std::move(tape), fault};
}

std::vector<std::uint8_t> Choices(core::Random& random) {
  std::vector<std::uint8_t> choices(120);
  for (auto& choice : choices) choice = static_cast<std::uint8_t>(random.Below(240));
  return choices;
}

/// \brief Rules that runs with `fault` violate.
std::set<std::string> Detected(InjectedFault fault) {
  std::set<std::string> detected;
  core::Random random(5);
  for (int i = 0; i < 1500; ++i) detected.merge(AnyWorld(Choices(random), fault).Run());
  return detected;
}

}  // namespace

// Guards against a wrong, partial or foreign answer, a second run of a non-idempotent call and a
// false not_run (R2, R3, R4) under any order of faults.
TEST_CASE("every request ends with its whole own answer or a true error") {
  CHECK(rc::check([] {
    const auto choices = *rc::gen::container<std::vector<std::uint8_t>>(
        *rc::gen::inRange(20, 160), rc::gen::inRange<std::uint8_t>(0, 240));
    RC_ASSERT(AnyWorld(choices, InjectedFault::kNone).Run() == std::set<std::string>{});
  }));
}

// Guards against a fuzz world in which requests only fail, so that its checks judge nothing.
TEST_CASE("the fuzz world reaches every kind of end") {
  core::Random random(6);
  int answered = 0;
  int answered_after_retry = 0;
  int unknown = 0;
  int not_run = 0;
  for (int i = 0; i < 3000; ++i) {
    RequestWorld world = AnyWorld(Choices(random), InjectedFault::kNone);
    CHECK(world.Run() == std::set<std::string>{});
    answered += world.answered() ? 1 : 0;
    answered_after_retry += world.answered() && world.sends() > 1 ? 1 : 0;
    if (world.error()) {
      unknown += world.error()->execution == core::Execution::kUnknown ? 1 : 0;
      not_run += world.error()->execution == core::Execution::kNotRun ? 1 : 0;
    }
  }
  CAPTURE(answered, answered_after_retry, unknown, not_run);
  CHECK(answered > 100);
  CHECK(answered_after_retry > 50);
  CHECK(unknown > 100);
  CHECK(not_run > 100);
}

// Guards against an oracle that misses the failure which it is there to detect.
TEST_CASE("each deliberate fault is detected by its rule") {
  const auto [fault, rule] = GENERATE(table<InjectedFault, std::string>({
      {InjectedFault::kSkipStreamIdCheck, "no part of another answer"},
      {InjectedFault::kAcceptGaps, "own chunks in order"},
      {InjectedFault::kEndWithoutFinish, "the answer is whole"},
      {InjectedFault::kRetryAfterBytesSent, "a non-idempotent call is sent once"},
      {InjectedFault::kReportNotRunAfterSending, "not_run is true"},
      {InjectedFault::kReleaseAfterSending, "released only if unsent"},
      {InjectedFault::kAcceptPreviousAttempts, "own chunks in order"},
      {InjectedFault::kRetryWithoutToken, "each retry has a token"},
      {InjectedFault::kDispatchWithoutClaim, "no dispatch without a timely claim"},
  }));
  CAPTURE(rule);
  CHECK(Detected(fault).contains(rule));
}

}  // namespace cornelrelay::request
