#include <rapidcheck.h>

#include <catch2/catch.hpp>

#include "cornelrelay/core/random.h"
#include "request_simulation.h"

namespace cornelrelay::request {
namespace {

using std::chrono::milliseconds;

SimulationSettings RandomSettings(ChoiceSequence& choices) {
  SimulationSettings settings;
  settings.policy.idempotent = choices.Below(2) == 1;
  settings.policy.key_required = choices.OneIn(4);
  settings.policy.max_attempts = 1 + static_cast<int>(choices.Below(4));
  settings.policy.deadline = milliseconds(500);
  settings.policy.claim_timeout = milliseconds(100);
  settings.attributes = {core::RequestId("r"), "e1-1-1", choices.Below(2) == 1, true};
  settings.attributes.resumable = !choices.OneIn(4);
  settings.answer_length = settings.attributes.resumable ? 1 + choices.Below(5) : 1;
  return settings;
}

RequestSimulation RandomSimulation(std::vector<std::uint8_t> values, InjectedFault fault) {
  ChoiceSequence choices(std::move(values));
  SimulationSettings settings = RandomSettings(choices);
  return {std::move(settings), std::move(choices), fault};
}

std::vector<std::uint8_t> RandomChoices(core::Random& random) {
  std::vector<std::uint8_t> choices(120);
  for (auto& choice : choices) choice = static_cast<std::uint8_t>(random.Below(240));
  return choices;
}

/// \brief Returns the rules that are violated by simulations with `fault`.
std::set<std::string> ViolatedRules(InjectedFault fault) {
  std::set<std::string> rules;
  core::Random random(5);
  for (int i = 0; i < 1500; ++i) rules.merge(RandomSimulation(RandomChoices(random), fault).Run());
  return rules;
}

}  // namespace

// Guards against a wrong, partial or foreign answer, a second run of a non-idempotent call and a
// false not_run (requirements R2, R3 and R4) under any order of faults.
TEST_CASE("every request ends with its own complete answer or a correct error") {
  CHECK(rc::check([] {
    const auto choices = *rc::gen::container<std::vector<std::uint8_t>>(
        *rc::gen::inRange(20, 160), rc::gen::inRange<std::uint8_t>(0, 240));
    RC_ASSERT(RandomSimulation(choices, InjectedFault::kNone).Run() == std::set<std::string>{});
  }));
}

// Guards against a simulation in which all requests fail, so that its checks verify nothing.
TEST_CASE("the simulation reaches every kind of outcome") {
  core::Random random(6);
  int answered = 0;
  int answered_after_retry = 0;
  int unknown = 0;
  int not_run = 0;
  for (int i = 0; i < 3000; ++i) {
    RequestSimulation simulation = RandomSimulation(RandomChoices(random), InjectedFault::kNone);
    CHECK(simulation.Run() == std::set<std::string>{});
    answered += simulation.answered() ? 1 : 0;
    answered_after_retry += simulation.answered() && simulation.sends() > 1 ? 1 : 0;
    if (simulation.error()) {
      unknown += simulation.error()->execution == core::Execution::kUnknown ? 1 : 0;
      not_run += simulation.error()->execution == core::Execution::kNotRun ? 1 : 0;
    }
  }
  CAPTURE(answered, answered_after_retry, unknown, not_run);
  CHECK(answered > 100);
  CHECK(answered_after_retry > 50);
  CHECK(unknown > 100);
  CHECK(not_run > 100);
}

// Guards against a rule of the simulation that does not detect the fault which it exists for.
TEST_CASE("each injected fault is detected by its rule") {
  const auto [fault, rule] = GENERATE(table<InjectedFault, std::string>({
      {InjectedFault::kSkipStreamIdCheck, "no data of another request is forwarded"},
      {InjectedFault::kAcceptGaps, "chunks are forwarded in order"},
      {InjectedFault::kEndWithoutFinish, "a finished answer is complete"},
      {InjectedFault::kRetryAfterBytesSent, "a non-idempotent call is sent once"},
      {InjectedFault::kReportNotRunAfterSending,
       "not_run is reported only if every attempt was unsent or refused"},
      {InjectedFault::kReportUnknownBeforeSending,
       "unknown is reported only if an attempt was sent and not refused"},
      {InjectedFault::kReleaseAfterSending, "a claim is released only if no attempt was sent"},
      {InjectedFault::kAcceptPreviousAttempts, "chunks are forwarded in order"},
      {InjectedFault::kRetryWithoutToken, "each retry has a token"},
      {InjectedFault::kDispatchWithoutClaim,
       "a call that needs a claim is sent only after its claim was granted in time"},
  }));
  CAPTURE(rule);
  CHECK(ViolatedRules(fault).contains(rule));
}

}  // namespace cornelrelay::request
