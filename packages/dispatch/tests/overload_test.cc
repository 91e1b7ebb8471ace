#include <catch2/catch.hpp>

#include "overload_loop.h"

namespace cornelrelay::dispatch {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// Requests a second that the engines of an OverloadCase can serve: 8 engines of 10 slots, 0.8 s a
/// request.
constexpr double kCapacity = 100;
/// Load of deployment A (docs/design/overview-load-and-untrusted-callers.md) at its mean, as a part
/// of the capacity, and what each priority has of it.
constexpr double kMeanLoad = 0.8;
constexpr double kShares[] = {81.0 / 256, 68.0 / 256, 107.0 / 256};

/// Counts of a loop with few requests vary by about this part of the requests.
constexpr double kNoise = 0.01;

std::vector<double> MeanRates(double factor = 1) {
  std::vector<double> rates;
  for (const double share : kShares) rates.push_back(kCapacity * kMeanLoad * share * factor);
  return rates;
}

OverloadCase CaseOf(std::uint64_t seed, double factor = 1) {
  OverloadCase load;
  load.seed = seed;
  load.rates = [factor](core::Duration) { return MeanRates(factor); };
  return load;
}

void CheckUrgentFirst(OverloadResult result) {
  const double urgent = result.priorities[0].RejectedShare();
  const double least_urgent = result.priorities[2].RejectedShare();
  INFO("rejected: " << urgent << ", " << result.priorities[1].RejectedShare() << ", "
                    << least_urgent);
  CHECK(result.priorities[0].arrived > 100);
  CHECK(least_urgent > 0.02);
  CHECK(urgent <= least_urgent + kNoise);
}

/// The page promises a route at least a quarter of the share that all get.
void CheckNoPriorityStarves(OverloadResult result) {
  OverloadCounts all;
  for (const auto& [priority, counts] : result.priorities) {
    all.arrived += counts.arrived;
    all.served += counts.served;
  }
  for (const auto& [priority, counts] : result.priorities) {
    INFO("priority " << int{priority} << ": served " << counts.served << " of " << counts.arrived);
    CHECK(counts.served / counts.arrived >= all.served / all.arrived / 4);
  }
}

}  // namespace

// Guards against the priority inversion of deployment A: the urgent route has the shortest target
// latency and was therefore rejected first.
TEST_CASE("in a peak of 1.55 times the mean, less urgent requests are rejected first") {
  const auto seed = GENERATE(1U, 2U, 3U);
  const OverloadResult result = OverloadLoop(CaseOf(seed, 1.55)).Run();
  CheckUrgentFirst(result);
  CheckNoPriorityStarves(result);
}

TEST_CASE("a burst of the least urgent route does not cost the urgent burst after it") {
  const auto seed = GENERATE(1U, 2U, 3U);
  OverloadCase load = CaseOf(seed);
  load.rates = [](core::Duration t) {
    std::vector<double> rates = MeanRates();
    if (t >= seconds(5) && t < seconds(10)) rates[2] *= 2.3;
    if (t >= seconds(10) && t < seconds(13)) rates[0] *= 1.7;
    return rates;
  };
  CheckUrgentFirst(OverloadLoop(load).Run());
}

TEST_CASE("with half of the engines gone, urgent requests are served first and no route starves") {
  const auto seed = GENERATE(1U, 2U, 3U);
  OverloadCase load = CaseOf(seed);
  load.half_lost_at = seconds(4);
  const OverloadResult result = OverloadLoop(load).Run();
  CheckUrgentFirst(result);
  CheckNoPriorityStarves(result);
}

// Guards against an account whose flood makes the expected wait of all others too long.
TEST_CASE("one account at ten times its rate bears the cost itself") {
  const auto seed = GENERATE(1U, 2U, 3U);
  OverloadCase load = CaseOf(seed, 1.45);  // the other 19 accounts at their rate, one at ten times
  load.first_account_factor = 10;
  const OverloadResult result = OverloadLoop(load).Run();
  CheckUrgentFirst(result);
  CHECK(result.first_account.arrived > 100);
  INFO("rejected: " << result.first_account.RejectedShare() << " of the account, "
                    << result.other_accounts.RejectedShare() << " of the others");
  CHECK(result.other_accounts.RejectedShare() < result.first_account.RejectedShare());
}

TEST_CASE("immediate retries of rejected requests do not displace urgent requests") {
  const auto seed = GENERATE(1U, 2U, 3U);
  OverloadCase load = CaseOf(seed, 1.55);
  load.immediate_retries = 3;
  CheckUrgentFirst(OverloadLoop(load).Run());
}

}  // namespace cornelrelay::dispatch
