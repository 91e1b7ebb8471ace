#include "cornelrelay/request/request_machine.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include "cornelrelay/request/answer_id.h"
#include "cornelrelay/request/to_json.h"

namespace cornelrelay::request {
namespace {

using std::chrono::milliseconds;

const core::Instant kStart{};
const core::AttemptId kFirstAttempt("e1-1");

RequestMachine ConnectingMachine(RequestPolicy policy) {
  RequestMachine machine(policy, {core::RequestId("r"), "e1", false, true}, kStart);
  machine.Step(kStart, Started{});
  machine.Step(kStart, Admitted{});
  machine.Step(kStart, UpstreamChosen{core::UpstreamId("u1")});
  return machine;
}

template <class Action>
const Action* Find(const std::vector<RequestAction>& actions) {
  for (const auto& action : actions) {
    if (const auto* found = std::get_if<Action>(&action)) return found;
  }
  return nullptr;
}

}  // namespace

// Guards against a 504 for a request of which no byte was written, because its connection was
// established at the deadline. The attempt is cancelled in the step that would permit the write.
TEST_CASE("an attempt that is cancelled before its first byte was written counts as not run") {
  RequestMachine machine =
      ConnectingMachine({false, false, 2, milliseconds(500), milliseconds(100)});
  const auto actions = machine.Step(kStart + milliseconds(500), BytesSent{kFirstAttempt});
  REQUIRE(Find<CancelAttempt>(actions) != nullptr);
  CHECK(Find<CancelAttempt>(actions)->attempt == kFirstAttempt);
  REQUIRE(Find<SendError>(actions) != nullptr);
  CHECK(Find<SendError>(actions)->error == RequestError::kDeadlineExceeded);
  CHECK(Find<SendError>(actions)->execution == core::Execution::kNotRun);
}

// Guards against a false not_run when the deadline passes after the write was permitted.
TEST_CASE("an attempt whose write was permitted before the deadline may have run") {
  RequestMachine machine =
      ConnectingMachine({false, false, 2, milliseconds(500), milliseconds(100)});
  machine.Step(kStart + milliseconds(499), BytesSent{kFirstAttempt});
  const auto actions = machine.Step(kStart + milliseconds(500), TimePassed{});
  REQUIRE(Find<SendError>(actions) != nullptr);
  CHECK(Find<SendError>(actions)->execution == core::Execution::kUnknown);
}

// Guards against a 502 for a request whose connection was lost before the first byte was written.
TEST_CASE("an attempt that failed before its first byte was written counts as not run") {
  for (const int attempts : {1, 2}) {
    RequestMachine machine =
        ConnectingMachine({false, false, attempts, milliseconds(500), milliseconds(100)});
    machine.Step(kStart, BytesSent{kFirstAttempt});
    auto actions = machine.Step(kStart, ConnectFailed{kFirstAttempt});
    REQUIRE(Find<RecordAttempt>(actions) != nullptr);
    CHECK(Find<RecordAttempt>(actions)->result == AttemptResult::kConnectFailed);
    // A non-idempotent request may be sent to another upstream.
    CHECK((Find<AcquireRetryToken>(actions) != nullptr) == (attempts == 2));
    if (attempts == 2) actions = machine.Step(kStart, RetryDenied{});
    REQUIRE(Find<SendError>(actions) != nullptr);
    CHECK(Find<SendError>(actions)->execution == core::Execution::kNotRun);
  }
}

// Guards against a false not_run when a caller resends an order that has run. Only a granted claim
// proves that no earlier call under the same key has run.
TEST_CASE("not_run of a call with a key needs a granted claim") {
  const RequestPolicy policy{false, false, 1, milliseconds(500), milliseconds(100)};
  const RequestAttributes attributes{core::RequestId("r"), "e1", true, false};
  RequestMachine refused(policy, attributes, kStart);
  refused.Step(kStart, Started{});
  const auto early = refused.Step(kStart, Refused{RequestError::kOverloaded, {}});
  CHECK(Find<SendError>(early)->execution == core::Execution::kUnknown);

  for (const ClaimDenial denial : {ClaimDenial::kKeyExpired, ClaimDenial::kUnavailable}) {
    RequestMachine denied(policy, attributes, kStart);
    denied.Step(kStart, Started{});
    denied.Step(kStart, Admitted{});
    const auto actions = denied.Step(kStart, ClaimDenied{denial, {}});
    CHECK(Find<SendError>(actions)->execution == core::Execution::kUnknown);
  }

  RequestMachine granted(policy, attributes, kStart);
  granted.Step(kStart, Started{});
  granted.Step(kStart, Admitted{});
  granted.Step(kStart, ClaimGranted{});
  granted.Step(kStart, UpstreamChosen{core::UpstreamId("u1")});
  const auto broken = granted.Step(kStart, ConnectFailed{kFirstAttempt});
  CHECK(Find<SendError>(broken)->execution == core::Execution::kNotRun);
  CHECK(Find<FinishClaim>(broken)->outcome == ClaimOutcome::kReleased);
}

// Guards against failing an idempotent call that another upstream could have answered, and against
// withholding the error response to a non-idempotent call from its caller.
TEST_CASE("a server error is retried only for idempotent calls") {
  const int status = GENERATE(429, 500, 503);
  for (const bool idempotent : {true, false}) {
    RequestMachine machine = ConnectingMachine({idempotent, false, 2, milliseconds(500), {}});
    machine.Step(kStart, BytesSent{kFirstAttempt});
    const auto actions = machine.Step(kStart, HeadReceived{kFirstAttempt, status});
    CHECK((Find<AcquireRetryToken>(actions) != nullptr) == idempotent);
    CHECK((machine.state() == RequestState::kStreaming) == !idempotent);
  }
}

// Guards against a second attempt that repeats the part of the body that the caller already has.
TEST_CASE("a partly forwarded answer that cannot resume is not retried") {
  RequestMachine machine({true, false, 3, milliseconds(500), {}},
                         {core::RequestId("r"), "e1", false, false}, kStart);
  machine.Step(kStart, Started{});
  machine.Step(kStart, Admitted{});
  machine.Step(kStart, UpstreamChosen{core::UpstreamId("u1")});
  machine.Step(kStart, BytesSent{kFirstAttempt});
  machine.Step(kStart, HeadReceived{kFirstAttempt, 200});
  machine.Step(kStart, ChunkChecked{kFirstAttempt, Accepted{{1, {}, {}}}, "part"});
  const auto actions = machine.Step(kStart, UpstreamClosed{kFirstAttempt});
  REQUIRE(Find<SendError>(actions) != nullptr);
  CHECK(Find<SendError>(actions)->error == RequestError::kUpstreamBroken);
  CHECK(Find<AcquireRetryToken>(actions) == nullptr);
}

// Guards against MIXED and ORDER of issue 27: the error of the next upstream inside a stream that
// had begun at another one, which then ended as if it were complete.
TEST_CASE("an answer that is no stream does not go on with a stream that was begun") {
  struct Head {
    int status;
    bool event_stream;
  };
  for (const Head head : {Head{404, false}, Head{400, true}, Head{200, false}, Head{204, false}}) {
    RequestMachine machine({true, false, 2, milliseconds(500), {}},
                           {core::RequestId("r"), "e1", false, true}, kStart);
    machine.Step(kStart, Started{});
    machine.Step(kStart, Admitted{});
    machine.Step(kStart, UpstreamChosen{core::UpstreamId("u1")});
    machine.Step(kStart, BytesSent{kFirstAttempt});
    machine.Step(kStart, HeadReceived{kFirstAttempt, 200, true});
    machine.Step(kStart, ChunkChecked{kFirstAttempt, Accepted{{1, {}, {}}}, "event"});
    machine.Step(kStart, UpstreamClosed{kFirstAttempt});
    machine.Step(kStart, RetryGranted{});
    machine.Step(kStart, UpstreamChosen{core::UpstreamId("u2")});
    const core::AttemptId second("e1-2");
    machine.Step(kStart, BytesSent{second});
    auto actions = machine.Step(kStart, HeadReceived{second, head.status, head.event_stream});
    CHECK(Find<SendError>(actions) != nullptr);
    actions = machine.Step(kStart, ChunkChecked{second, End{}, "no such stream"});
    CHECK(Find<ForwardChunk>(actions) == nullptr);
    CHECK(Find<FinishAnswer>(actions) == nullptr);
    CHECK(machine.state() == RequestState::kFailed);
  }
}

// Guards against a state dump that does not show an operator why a request is waiting.
TEST_CASE("the state dump names state, attempt and tried upstreams") {
  const auto dump = ToJson(ConnectingMachine({true, false, 2, milliseconds(500), {}}).snapshot());
  CHECK(dump["state"] == "connecting");
  CHECK(dump["current_attempt"] == "e1-1");
  CHECK(dump["tried"] == nlohmann::json{"u1"});
  CHECK(dump["wake_at_us"] == 500000);
}

// Guards against replacing other text of the answer that equals the attempt id.
TEST_CASE("only the id of an answer is replaced") {
  const core::RequestId request("r\"1");
  const auto replaced = [&](const std::string& text) {
    return nlohmann::json::parse(ReplaceAnswerId(text, kFirstAttempt, request));
  };
  CHECK(replaced(R"({"c":"say \"e1-1\"","id":"e1-1"})") ==
        nlohmann::json{{"c", "say \"e1-1\""}, {"id", "r\"1"}});
  CHECK(replaced(R"({"c":"e1-1","id":"e1-1"})") == nlohmann::json{{"c", "e1-1"}, {"id", "r\"1"}});
}

}  // namespace cornelrelay::request
