#include <rapidcheck.h>

#include <algorithm>
#include <catch2/catch.hpp>
#include <deque>
#include <map>
#include <string>
#include <vector>

#include "cornelrelay/core/random.h"
#include "cornelrelay/dispatch/dispatcher.h"
#include "cornelrelay/dispatch/rate_limit_share.h"

namespace cornelrelay::dispatch {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// The rule's window, factor and slack.
constexpr seconds kWindow{4};
constexpr double kAllowedFactor = 1.5;
constexpr double kAllowedSlack = 5;

core::Instant At(std::int64_t ms) { return core::Instant(milliseconds(ms)); }
core::UpstreamId UpstreamNo(int n) { return core::UpstreamId("u" + std::to_string(n)); }

std::vector<core::HostId> Processes(int count) {
  std::vector<core::HostId> processes;
  for (int n = 0; n < count; ++n) processes.emplace_back("entry-" + std::to_string(n));
  return processes;
}

/// \brief Entry processes that know of each other's observations after 100 ms, in front of
/// upstreams of which the first `limited` name a limit.
class Fleet {
 public:
  Fleet(int processes, int upstreams, int limited, double limit, std::uint64_t seed)
      : m_random(seed), m_hosts(Processes(processes)), m_limited(limited), m_limit(limit) {
    UpstreamsChanged changed;
    for (int n = 0; n < upstreams; ++n) changed.upstreams.push_back({UpstreamNo(n), 12, 1});
    for (const core::HostId& host : m_hosts) {
      DispatcherConfig config;
      config.seed = seed + m_dispatchers.size();
      config.upstreams.self = host;
      m_dispatchers.emplace_back(config);
      m_dispatchers.back().Step(m_now, changed);
    }
  }

  /// \brief Sends requests at random processes for a time; each takes 100 ms.
  void Run(core::Duration time, double per_second) {
    const core::Instant end = m_now + time;
    while (m_now < end) {
      m_now += milliseconds(1);
      EndDue();
      if (m_now.time_since_epoch() % milliseconds(100) == core::Duration{}) Exchange();
      if (m_random.Unit() * 1'000 >= per_second) continue;
      RequestArrived arrival;
      arrival.request = core::RequestId(std::to_string(++m_sent));
      arrival.target_latency = milliseconds(400);
      const std::size_t process = m_random.Below(m_dispatchers.size());
      Step(process, arrival);
    }
  }

  /// \brief Most requests of one limited upstream in the rule's window, from `since` on.
  std::size_t MostInWindow(core::Instant since) const {
    std::size_t most = 0;
    for (int n = 0; n < m_limited; ++n) {
      const auto found = m_starts.find(UpstreamNo(n));
      if (found == m_starts.end()) continue;
      std::deque<core::Instant> window;
      for (const core::Instant at : found->second) {
        if (at < since) continue;
        window.push_back(at);
        while (window.front() + kWindow <= at) window.pop_front();
        most = std::max(most, window.size());
      }
    }
    return most;
  }
  std::size_t StartsOf(int upstream) const {
    const auto found = m_starts.find(UpstreamNo(upstream));
    return found == m_starts.end() ? 0 : found->second.size();
  }
  void EndLimits() { m_limited = 0; }
  core::Instant now() const { return m_now; }

 private:
  struct Running {
    std::size_t process;
    core::RequestId request;
    core::UpstreamId upstream;
  };

  void Step(std::size_t process, const DispatchEvent& event) {
    for (const DispatchAction& action : m_dispatchers[process].Step(m_now, event)) {
      const auto* assigned = std::get_if<Assigned>(&action);
      if (!assigned) continue;
      m_starts[assigned->upstream].push_back(m_now);
      m_running.emplace(m_now + milliseconds(100),
                        Running{process, assigned->request, assigned->upstream});
    }
  }

  void EndDue() {
    while (!m_running.empty() && m_running.begin()->first <= m_now) {
      const Running running = m_running.begin()->second;
      m_running.erase(m_running.begin());
      std::optional<double> limit;
      for (int n = 0; n < m_limited; ++n) {
        if (running.upstream == UpstreamNo(n)) limit = m_limit;
      }
      Step(running.process, RateLimitObserved{running.upstream, limit});
      Step(running.process, AttemptEnded{running.request, AttemptEnd::kCompleted});
    }
    for (std::size_t n = 0; n < m_dispatchers.size(); ++n) Step(n, DispatchTick{});
  }

  void Exchange() {
    PeerRateLimitsChanged changed;
    changed.processes = m_hosts;
    for (const Dispatcher& dispatcher : m_dispatchers) {
      for (const auto& [upstream, heard] : dispatcher.OwnRateLimits(m_now)) {
        const auto [found, added] = changed.observations.try_emplace(upstream, heard);
        if (!added && found->second.at < heard.at) found->second = heard;
      }
    }
    for (std::size_t n = 0; n < m_dispatchers.size(); ++n) Step(n, changed);
  }

  core::Random m_random;
  std::vector<core::HostId> m_hosts;
  int m_limited;
  double m_limit;
  core::Instant m_now = At(0);
  int m_sent = 0;
  std::vector<Dispatcher> m_dispatchers;
  std::multimap<core::Instant, Running> m_running;
  std::map<core::UpstreamId, std::vector<core::Instant>> m_starts;
};

double Allowed(double limit) {
  const double window = std::chrono::duration<double>(kWindow).count();
  return kAllowedFactor * limit * window + kAllowedSlack;
}

}  // namespace

TEST_CASE("the shares of all entry processes add up to the limit of the upstream") {
  for (const int count : {1, 2, 8, 149}) {
    const auto processes = Processes(count);
    for (const double limit : {0.5, 2.2, 7.0, 300.0}) {
      double sum = 0;
      for (const core::HostId& self : processes) {
        sum += RateShareOf(limit, UpstreamNo(1), self, processes);
      }
      CHECK(sum == Approx(limit));
    }
  }
}

TEST_CASE("an upstream that takes nothing is still asked now and then") {
  CHECK(RateShareOf(0, UpstreamNo(1), core::HostId("e"), {core::HostId("e")}) > 0);
}

TEST_CASE("an older observation of a limit does not replace a newer one") {
  RateLimitShare share;
  CHECK(share.Observe({2.0, At(100)}));
  CHECK_FALSE(share.Observe({std::nullopt, At(50)}));
  CHECK(share.limit() == 2.0);
  CHECK(share.Observe({std::nullopt, At(200)}));
  CHECK_FALSE(share.limit());
  CHECK(share.Admits(At(200)));
}

TEST_CASE("a new share starts without savings") {
  RateLimitShare share;
  share.Observe({2.0, At(0)});
  share.SetShare(At(10'000), 1.0);
  CHECK_FALSE(share.Admits(At(10'500)));
  REQUIRE(share.NextAdmission(At(10'500)));
  CHECK(*share.NextAdmission(At(10'500)) == At(11'000));
  CHECK(share.Admits(At(11'000)));
  share.Take(At(11'000));
  CHECK_FALSE(share.Admits(At(11'500)));
}

// Load pattern: light load, then one that fills the upstreams without a limit. Guards against LIMIT
// of issue 24: a limit that each entry process keeps to by itself, or none does.
TEST_CASE("all entry processes together keep to the limits of upstreams, and use them under load") {
  CHECK(rc::check([](std::uint64_t seed) {
    core::Random random(seed);
    const int processes = 1 + static_cast<int>(random.Below(30));
    const double limit = 0.5 + 4 * random.Unit();
    Fleet fleet(processes, 4, 2, limit, seed);
    fleet.Run(seconds(2), 60);
    const core::Instant since = fleet.now();
    fleet.Run(seconds(6), 60);
    const std::size_t before = fleet.StartsOf(0);
    fleet.Run(seconds(10), 230);
    RC_ASSERT(static_cast<double>(fleet.MostInWindow(since)) <= Allowed(limit));
    RC_ASSERT(static_cast<double>(fleet.StartsOf(0) - before) >= 10 * limit / 2);
  }));
}

// Load pattern: idle, then a jump. Guards against savings of many processes that are spent at once.
TEST_CASE("savings of idle entry processes do not exceed a limit") {
  for (const int processes : {8, 44, 149}) {
    Fleet fleet(processes, 4, 4, 2.0, 7);
    fleet.Run(seconds(3), 100);
    const core::Instant since = fleet.now();
    fleet.Run(seconds(20), 0);
    fleet.Run(seconds(5), 900);
    CHECK(static_cast<double>(fleet.MostInWindow(since)) <= Allowed(2.0));
  }
}

TEST_CASE("an upstream that names no limit any more gets its share again") {
  Fleet fleet(8, 4, 1, 1.0, 3);
  fleet.Run(seconds(4), 80);
  fleet.EndLimits();
  fleet.Run(seconds(4), 80);
  const std::size_t before = fleet.StartsOf(0);
  fleet.Run(seconds(4), 80);
  CHECK(fleet.StartsOf(0) - before > 40);
}

}  // namespace cornelrelay::dispatch
