#include "cornelrelay/limits/fair_queue.h"

#include <rapidcheck.h>

#include <catch2/catch.hpp>
#include <map>
#include <set>

#include "cornelrelay/core/random.h"
#include "cornelrelay/limits/retry_budget.h"

namespace cornelrelay::limits {
namespace {

core::Instant At(std::int64_t milliseconds) {
  return core::Instant(std::chrono::milliseconds(milliseconds));
}

QueuedRequest Item(std::size_t number, const std::string& account, std::uint8_t priority,
                   core::Instant enqueued, double work = 1) {
  return {core::RequestId(std::to_string(number)),
          core::ClientAccountId(account),
          priority,
          core::Instant::max(),
          enqueued,
          work};
}

bool AnyAccount(const core::ClientAccountId&) { return true; }

// Queues one request of a low class while the highest class gets a request every 10 ms. Returns the
// number of 10 ms steps until the low request is served, or -1 if it is not.
int StepsUntilLowServed(std::optional<core::Duration> aging) {
  FairQueue queue({1, aging});
  queue.Push(Item(1, "low", 2, At(0)));
  for (int step = 0; step < 2000; ++step) {
    queue.Push(Item(static_cast<std::size_t>(10 + step), "high", 0, At(step * 10)));
    const auto next = queue.Pop(At(step * 10), AnyAccount);
    if (next->account == core::ClientAccountId("low")) return step;
  }
  return -1;
}

// Guards against starvation of a low class, and shows that the check detects disabled aging.
TEST_CASE("aging serves a low class while a higher class always has requests") {
  const int steps = StepsUntilLowServed(std::chrono::seconds(1));
  CHECK(steps > 0);
  CHECK(steps <= 310);
  CHECK(StepsUntilLowServed(std::nullopt) == -1);
}

// Guards against an account that gets more work done by queueing more, larger or smaller requests.
TEST_CASE("backlogged accounts get equal work") {
  CHECK(rc::check([](std::uint64_t seed) {
    core::Random random(seed);
    FairQueue queue({4, std::nullopt});
    std::map<core::ClientAccountId, double> served;
    std::size_t number = 0;
    for (int account = 0; account < 4; ++account) {
      for (int i = 0; i < 400; ++i) {
        const double work = 1 + static_cast<double>(random.Below(account == 0 ? 10 : 3));
        queue.Push(Item(++number, "account-" + std::to_string(account), 1, At(0), work));
      }
    }
    for (int i = 0; i < 600; ++i) {
      const auto next = queue.Pop(At(0), AnyAccount);
      served[next->account] += next->work;
      double least = 1e9, most = 0;
      for (int account = 0; account < 4; ++account) {
        const double work = served[core::ClientAccountId("account-" + std::to_string(account))];
        least = std::min(least, work);
        most = std::max(most, work);
      }
      RC_ASSERT(most - least <= 2 * (4 + 10));
    }
  }));
}

// Guards against requests that are lost or returned twice, and against serving an account that is
// not eligible.
TEST_CASE("each queued request leaves once, by pop or removal") {
  CHECK(rc::check([](std::uint64_t seed) {
    core::Random random(seed);
    FairQueue queue({2, std::chrono::milliseconds(500)});
    std::set<std::size_t> queued_numbers;
    for (std::size_t i = 0; i < 400; ++i) {
      const auto now = At(static_cast<std::int64_t>(i) * 20);
      const core::ClientAccountId barred("account-" + std::to_string(random.Below(4)));
      switch (random.Below(4)) {
        case 0:
          if (!queued_numbers.empty() &&
              queue.Remove(core::RequestId(std::to_string(*queued_numbers.begin())))) {
            queued_numbers.erase(queued_numbers.begin());
          }
          break;
        case 1: {
          const auto next =
              queue.Pop(now, [&](const core::ClientAccountId& a) { return a != barred; });
          if (next) {
            RC_ASSERT(next->account != barred);
            RC_ASSERT(queued_numbers.erase(std::stoul(next->request.value())) == 1U);
          }
          break;
        }
        default:
          queue.Push(Item(i, "account-" + std::to_string(random.Below(4)),
                          static_cast<std::uint8_t>(random.Below(3)), now));
          queued_numbers.insert(i);
      }
      RC_ASSERT(queue.size() == queued_numbers.size());
    }
  }));
}

// Guards against a request that waits behind requests of the same account with later deadlines.
TEST_CASE("an account's requests leave by deadline") {
  FairQueue queue({});
  for (std::size_t i = 0; i < 10; ++i) {
    QueuedRequest item = Item(i, "a", 1, At(0));
    item.deadline = At(static_cast<std::int64_t>((i * 7) % 10));
    queue.Push(item);
  }
  core::Instant last{};
  while (const auto next = queue.Pop(At(0), AnyAccount)) {
    CHECK(next->deadline >= last);
    last = next->deadline;
  }
}

// Simulates a brown-out in which each attempt fails and up to three retries are wanted per request.
// Returns the highest ratio of attempts to requests at any time.
double WorstAttemptsPerRequest(std::uint64_t seed, AdmissionFault fault) {
  core::Random random(seed);
  RetryBudget budget(80, 3, fault);
  double attempts = 0, requests = 0, worst = 0;
  for (int i = 0; i < 3000; ++i) {
    budget.OnRequest();
    ++requests;
    ++attempts;
    for (std::uint64_t wanted = random.Below(4); wanted > 0 && budget.TryRetry(); --wanted)
      ++attempts;
    worst = std::max(worst, attempts / requests);
  }
  return worst;
}

// Guards against retries that multiply the load in a brown-out, and shows that the check detects an
// ignored budget.
TEST_CASE("total attempts stay under 1.1 times the requests") {
  CHECK(rc::check([](std::uint64_t seed) {
    RC_ASSERT(WorstAttemptsPerRequest(seed, AdmissionFault::kNone) < 1.1);
  }));
  CHECK(WorstAttemptsPerRequest(1, AdmissionFault::kNone) > 1.05);
  CHECK(WorstAttemptsPerRequest(1, AdmissionFault::kBudgetIgnored) > 1.1);
}

}  // namespace
}  // namespace cornelrelay::limits
