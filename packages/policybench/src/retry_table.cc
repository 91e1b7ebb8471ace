#include <cmath>
#include <functional>
#include <string>

#include "cornelrelay/core/random.h"
#include "cornelrelay/limits/retry_budget.h"
#include "cornelrelay/policybench/event_loop.h"
#include "cornelrelay/policybench/matters.h"

namespace cornelrelay::policybench {

namespace {

constexpr std::size_t kProcesses = 8;
constexpr double kRequestsPerSecond = 155;  // 16 replicas at the target's rate of 9.7 each
constexpr double kAttemptSeconds = 0.2;
constexpr int kMostAttempts = 4;
constexpr double kFrom = 60;  // the brown-out, in seconds
constexpr double kTo = 180;

core::Instant At(double seconds) {
  return core::Instant(core::Duration(static_cast<core::Duration::rep>(seconds * 1e6)));
}

struct Attempts {
  std::vector<double> requests = std::vector<double>(300, 0);  // per second
  std::vector<double> attempts = std::vector<double>(300, 0);

  double Ratio(double from, double to) const {
    double all = 0, sent = 0;
    for (auto s = static_cast<std::size_t>(from); s < static_cast<std::size_t>(to); ++s) {
      all += requests[s];
      sent += attempts[s];
    }
    return sent / all;
  }
};

// Every attempt fails in the brown-out. `budget` false leaves retries bounded by the attempts of
// one request alone.
Attempts BrownOut(bool budget, std::uint64_t seed) {
  core::Random random(seed);
  EventLoop loop;
  Attempts result;
  std::vector<limits::RetryBudget> budgets(kProcesses);
  const std::function<void(core::Instant, std::size_t, int)> attempt =
      [&](core::Instant now, std::size_t process, int number) {
        const double seconds = std::chrono::duration<double>(now - core::Instant{}).count();
        result.attempts[static_cast<std::size_t>(seconds)] += 1;
        if (seconds < kFrom || seconds >= kTo || number >= kMostAttempts) return;
        loop.At(now + core::Duration(static_cast<core::Duration::rep>(kAttemptSeconds * 1e6)),
                [&attempt, &budgets, budget, process, number](core::Instant at) {
                  if (!budget || budgets[process].TryRetry()) attempt(at, process, number + 1);
                });
      };
  double at = 0;
  while (true) {
    at += -std::log(1 - random.Unit()) / kRequestsPerSecond;
    if (at >= kTo + 60) break;
    loop.At(At(at), [&, process = random.Below(kProcesses),
                     second = static_cast<std::size_t>(at)](core::Instant now) {
      result.requests[second] += 1;
      budgets[process].OnRequest();
      attempt(now, process, 1);
    });
  }
  loop.RunUntil(At(kTo + 60));
  return result;
}

}  // namespace

Table RetryTable(std::uint64_t seed) {
  Table table("retry", {"scheme", "span", "attempts per request"});
  for (const bool budget : {true, false}) {
    const std::string name = budget ? "ours: retry budget" : "no budget, 4 attempts";
    const Attempts run = BrownOut(budget, seed);
    table.Add({name, "whole brown-out (120 s)", Number(run.Ratio(kFrom, kTo), 3)});
    table.Add({name, "first 10 s", Number(run.Ratio(kFrom, kFrom + 10), 3)});
    table.Add({name, "first second", Number(run.Ratio(kFrom, kFrom + 1), 3)});
    table.Add({name, "whole run (240 s)", Number(run.Ratio(0, kTo + 60), 3)});
  }
  table.Note(
      "8 entry processes, 155 requests/s, every attempt of the brown-out fails after 200 ms. Goal: "
      "under 1.1.");
  return table;
}

}  // namespace cornelrelay::policybench
