#include "cornelrelay/store/store_client.h"

#include <rapidcheck.h>

#include <algorithm>
#include <catch2/catch.hpp>
#include <map>
#include <set>

#include "cornelrelay/store/testing/store_model.h"

namespace cornelrelay::store {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

template <class T>
std::vector<T> Only(const std::vector<StoreClientAction>& actions) {
  std::vector<T> found;
  for (const auto& action : actions) {
    if (const auto* match = std::get_if<T>(&action)) found.push_back(*match);
  }
  return found;
}

core::Instant At(milliseconds offset) { return core::Instant{} + offset; }

// Guards against calls over the budget being sent instead of waiting for a token.
TEST_CASE("calls over the budget wait for a token") {
  StoreClientOptions options;
  options.calls_per_second = 10;
  options.burst = 1;
  options.queue_limit = 1;
  StoreClient client(options, 1);
  CHECK(Only<TransmitCall>(client.Step(At({}), CallSubmitted{1, Get{"k"}})).size() == 1);
  CHECK(client.Step(At({}), CallSubmitted{2, Get{"k"}}).empty());
  const auto refused = Only<DeliverReply>(client.Step(At({}), CallSubmitted{3, Get{"k"}}));
  REQUIRE(refused.size() == 1);
  CHECK(std::holds_alternative<RefusedForRate>(refused[0].reply));
  const core::Instant wake = *client.NextWake(At({}));
  CHECK(wake <= At(milliseconds(101)));
  CHECK(Only<TransmitCall>(client.Step(wake, ClientTick{})).size() == 1);
}

// Guards against a write without an answer being repeated, or its late answer being delivered.
TEST_CASE("a write without an answer times out once and its late answer is ignored") {
  StoreClient client({}, 1);
  const auto sent =
      Only<TransmitCall>(client.Step(At({}), CallSubmitted{1, CompareAndSwap{"k", 0, "v", 0}}));
  REQUIRE(sent.size() == 1);
  const auto actions = client.Step(At(seconds(2)), ClientTick{});
  CHECK(Only<TransmitCall>(actions).empty());
  CHECK(Only<DeliverReply>(actions) == std::vector{DeliverReply{1, TimedOut{}}});
  CHECK(client.Step(At(seconds(3)), ReplyReceived{sent[0].transmission, Swapped{1}}).empty());
  CHECK(client.LateReplies() == 1);
}

// Guards against every caller hammering a store that is down, and against never coming back.
TEST_CASE("an outage lets one trial through per back-off delay and ends with a success") {
  StoreClientOptions options;
  options.attempts = 1;
  options.failures_until_outage = 2;
  StoreClient client(options, 1);
  StoreCallId call = 1;
  const auto submit = [&](core::Instant now) {
    return Only<TransmitCall>(client.Step(now, CallSubmitted{call++, Get{"k"}}));
  };
  for (int i = 0; i < 2; ++i) {
    const auto sent = submit(At({}));
    REQUIRE(sent.size() == 1);
    client.Step(At({}), ReplyReceived{sent[0].transmission, Unavailable{}});
  }
  CHECK(client.InOutage());
  CHECK(submit(At({})).empty());
  const core::Instant trial_time = client.NextTrial();
  const auto trial = submit(trial_time);
  REQUIRE(trial.size() == 1);
  CHECK(submit(trial_time).empty());
  client.Step(trial_time, ReplyReceived{trial[0].transmission, Unavailable{}});
  CHECK(client.NextTrial() - trial_time > trial_time - At({}));
  const auto second = submit(client.NextTrial());
  REQUIRE(second.size() == 1);
  client.Step(trial_time, ReplyReceived{second[0].transmission, ValueRead{}});
  CHECK_FALSE(client.InOutage());
}

// Guards against an idle watch being taken for an outage of the store.
TEST_CASE("watches that see no change do not start an outage") {
  StoreClientOptions options;
  options.failures_until_outage = 1;
  StoreClient client(options, 1);
  client.Step(At({}), CallSubmitted{1, Watch{"k", 0}});
  const auto delivered = Only<DeliverReply>(client.Step(At(seconds(60)), ClientTick{}));
  CHECK(delivered == std::vector{DeliverReply{1, TimedOut{}}});
  CHECK_FALSE(client.InOutage());
}

// Guards against a refusal after a lost answer being reported as "had no effect".
TEST_CASE("a refused repetition after a lost answer stays an unknown outcome") {
  StoreClient client({}, 1);
  client.Step(At({}), CallSubmitted{1, LeaseRevoke{7}});
  client.Step(At(milliseconds(1500)), ClientTick{});
  std::vector<DeliverReply> delivered;
  for (auto now = At(seconds(2)); delivered.empty(); now += seconds(1)) {
    REQUIRE(now < At(seconds(20)));
    for (const auto& sent : Only<TransmitCall>(client.Step(now, ClientTick{}))) {
      const auto actions = client.Step(now, ReplyReceived{sent.transmission, Unavailable{}});
      for (const auto& d : Only<DeliverReply>(actions)) delivered.push_back(d);
    }
  }
  CHECK(delivered == std::vector{DeliverReply{1, TimedOut{}}});
}

// Guards against a call with no result or two, against "no effect" replies to writes that took
// effect, and against "swapped" replies to writes that did not.
TEST_CASE("fuzz: each call has one truthful result under outages, limits and lost answers") {
  CHECK(rc::check([] {
    StoreClient client({}, *rc::gen::arbitrary<std::uint64_t>());
    testing::StoreModel store(15, 5);
    std::map<StoreCallId, StoreRequest> calls;
    std::map<StoreCallId, StoreReply> results;
    std::map<TransmissionId, StoreCallId> sent;
    core::Instant now{};
    const auto run = [&](std::vector<StoreClientAction> actions) {
      while (!actions.empty()) {
        const StoreClientAction action = actions.front();
        actions.erase(actions.begin());
        if (const auto* d = std::get_if<DeliverReply>(&action)) {
          RC_ASSERT(calls.contains(d->call));
          RC_ASSERT(results.emplace(d->call, d->reply).second);
        } else if (const auto* t = std::get_if<TransmitCall>(&action)) {
          RC_ASSERT(sent.emplace(t->transmission, 0).second);
          const auto reply = store.Handle(now, t->transmission, t->request);
          if (!reply) continue;
          auto more = client.Step(now, ReplyReceived{t->transmission, *reply});
          actions.insert(actions.end(), more.begin(), more.end());
        }
      }
    };
    const int steps = *rc::gen::inRange(10, 120);
    StoreCallId next = 1;
    for (int i = 0; i < steps; ++i) {
      now += milliseconds(*rc::gen::inRange(0, 400));
      switch (*rc::gen::inRange(0, 8)) {
        case 0:
          store.SetOutage(*rc::gen::inRange(0, 3) == 0);
          break;
        case 1:
          store.LoseAnswers(static_cast<std::uint32_t>(*rc::gen::inRange(0, 3)));
          break;
        case 2:
          run(client.Step(now, ClientTick{}));
          break;
        default: {
          const auto current = store.Find("k");
          // The value names the call, so that the oracle can tell whose write took effect.
          StoreRequest request =
              CompareAndSwap{"k", current ? current->revision : 0, std::to_string(next), 0};
          if (*rc::gen::inRange(0, 3) == 0) request = Get{"k"};
          calls[next] = request;
          run(client.Step(now, CallSubmitted{next++, request}));
        }
      }
      for (const auto& fired : store.Advance(now)) {
        run(client.Step(now, ReplyReceived{fired.call, fired.reply}));
      }
    }
    store.SetOutage(false);
    store.LoseAnswers(0);
    for (int i = 0; i < 200; ++i) run(client.Step(now += milliseconds(100), ClientTick{}));
    std::set<std::string> applied;
    for (const auto& write : store.Writes()) RC_ASSERT(applied.insert(*write.value).second);
    for (const auto& [call, request] : calls) {
      RC_ASSERT(results.contains(call));
      if (!std::holds_alternative<CompareAndSwap>(request)) continue;
      const StoreReply& reply = results.at(call);
      const bool took_effect = applied.contains(std::to_string(call));
      if (std::holds_alternative<Swapped>(reply)) RC_ASSERT(took_effect);
      if (!std::holds_alternative<Swapped>(reply) && !std::holds_alternative<TimedOut>(reply)) {
        RC_ASSERT_FALSE(took_effect);
      }
    }
  }));
}

}  // namespace
}  // namespace cornelrelay::store
