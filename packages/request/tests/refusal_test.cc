#include <catch2/catch.hpp>

#include "cornelrelay/request/request_machine.h"

namespace cornelrelay::request {
namespace {

using std::chrono::milliseconds;

const core::Instant kStart{};

template <class Action>
const Action* Find(const std::vector<RequestAction>& actions) {
  for (const auto& action : actions) {
    if (const auto* found = std::get_if<Action>(&action)) return found;
  }
  return nullptr;
}

/// \brief A request whose first attempt has been sent.
struct SentRequest {
  explicit SentRequest(RequestPolicy policy)
      : machine(policy, {core::RequestId("r"), "e-1", false, false}, kStart) {
    machine.Step(kStart, Started{});
    machine.Step(kStart, Admitted{});
    Open("u-1");
  }
  void Open(const std::string& upstream) {
    const auto actions = machine.Step(kStart, UpstreamChosen{core::UpstreamId(upstream)});
    attempt = Find<OpenAttempt>(actions)->attempt;
    machine.Step(kStart, BytesSent{attempt});
  }
  RequestMachine machine;
  core::AttemptId attempt;
};

RequestPolicy Policy(bool idempotent, int attempts) {
  RequestPolicy policy;
  policy.idempotent = idempotent;
  policy.max_attempts = attempts;
  policy.deadline = milliseconds(800);
  return policy;
}

}  // namespace

// Guards against counting an attempt as run although the upstream proved that it has not run it.
TEST_CASE("a refused attempt of a non-idempotent request may be sent to another upstream") {
  SentRequest request(Policy(false, 2));
  CHECK(Find<AcquireRetryToken>(request.machine.Step(kStart, AttemptRefused{request.attempt, {}})));
  const auto actions = request.machine.Step(kStart, RetryGranted{});
  REQUIRE(Find<ChooseUpstream>(actions));
  CHECK(Find<ChooseUpstream>(actions)->excluded.size() == 1);
}

TEST_CASE("a request whose only attempt was refused is reported as not run") {
  SentRequest request(Policy(false, 1));
  const auto actions =
      request.machine.Step(kStart, AttemptRefused{request.attempt, milliseconds(70)});
  REQUIRE(Find<SendError>(actions));
  CHECK(Find<SendError>(actions)->execution == core::Execution::kNotRun);
  CHECK(Find<SendError>(actions)->retry_after == milliseconds(70));
}

// Guards against a 502 for a request that every upstream refused: the connection of a refusal may
// break while the rest of the refusal is read.
TEST_CASE("a refusal stays valid if its connection breaks afterwards") {
  SentRequest request(Policy(false, 2));
  const core::AttemptId refused = request.attempt;
  request.machine.Step(kStart, AttemptRefused{refused, {}});
  request.machine.Step(kStart, UpstreamClosed{refused});
  request.machine.Step(kStart, RetryGranted{});
  request.Open("u-2");
  const auto actions = request.machine.Step(kStart, AttemptRefused{request.attempt, {}});
  REQUIRE(Find<SendError>(actions));
  CHECK(Find<SendError>(actions)->execution == core::Execution::kNotRun);
}

// Guards against a false not_run when an earlier attempt was interrupted after it was sent.
TEST_CASE(
    "the execution is unknown if the last attempt was refused but an earlier one may have run") {
  SentRequest request(Policy(true, 2));
  request.machine.Step(kStart, UpstreamClosed{request.attempt});
  request.machine.Step(kStart, RetryGranted{});
  request.Open("u-2");
  const auto actions = request.machine.Step(kStart, AttemptRefused{request.attempt, {}});
  REQUIRE(Find<SendError>(actions));
  CHECK(Find<SendError>(actions)->execution == core::Execution::kUnknown);
}

// Guards against a second run of a non-idempotent call, and against replacing the error response
// of an upstream by a less specific error when no retry is possible.
TEST_CASE("an error response is retried if the call is idempotent and forwarded otherwise") {
  SentRequest order(Policy(false, 2));
  CHECK(
      Find<ForwardErrorResponse>(order.machine.Step(kStart, ErrorResponseReceived{order.attempt})));

  SentRequest lookup(Policy(true, 2));
  CHECK(
      Find<AcquireRetryToken>(lookup.machine.Step(kStart, ErrorResponseReceived{lookup.attempt})));
  CHECK(Find<ForwardErrorResponse>(lookup.machine.Step(kStart, RetryDenied{})));
}

// Guards against a request that fails because unreachable upstreams, which never received it, used
// up its attempts.
TEST_CASE("up to max_uncounted_connect_failures failed connects do not count as attempts") {
  RequestPolicy policy = Policy(false, 1);
  policy.max_uncounted_connect_failures = 1;
  RequestMachine machine(policy, {core::RequestId("r"), "e-1", false, false}, kStart);
  machine.Step(kStart, Started{});
  machine.Step(kStart, Admitted{});
  const auto fail = [&](const std::string& upstream) {
    const auto actions = machine.Step(kStart, UpstreamChosen{core::UpstreamId(upstream)});
    return machine.Step(kStart, ConnectFailed{Find<OpenAttempt>(actions)->attempt});
  };
  CHECK(Find<AcquireRetryToken>(fail("u-1")));
  machine.Step(kStart, RetryGranted{});
  CHECK(Find<SendError>(fail("u-2")));
}

}  // namespace cornelrelay::request
