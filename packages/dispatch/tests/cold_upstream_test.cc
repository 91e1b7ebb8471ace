#include <algorithm>
#include <catch2/catch.hpp>
#include <deque>
#include <map>
#include <string>
#include <vector>

#include "cornelrelay/core/random.h"
#include "cornelrelay/dispatch/dispatcher.h"

namespace cornelrelay::dispatch {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// The rule: in no second more than the rate times this factor and this slack.
constexpr double kColdOver = 1.5;
constexpr double kColdSlack = 5;
constexpr double kColdPerSecond = 14;
constexpr double kAllowed = kColdPerSecond * kColdOver + kColdSlack;

core::Instant At(std::int64_t ms) { return core::Instant(milliseconds(ms)); }
core::UpstreamId UpstreamNo(int n) { return core::UpstreamId("u" + std::to_string(n)); }

std::vector<core::HostId> Hosts(int from, int to) {
  std::vector<core::HostId> hosts;
  for (int n = from; n < to; ++n) hosts.emplace_back("entry-" + std::to_string(n));
  return hosts;
}

/// \brief Entry processes in front of the upstreams of one data centre.
class Fleet {
 public:
  Fleet(int processes, int upstreams, std::uint64_t seed) : m_random(seed), m_upstreams(upstreams) {
    const std::vector<core::HostId> all = Hosts(0, processes);
    for (const core::HostId& host : all) {
      m_dispatchers.push_back(MakeDispatcher(host));
      m_last_list.push_back({});
      Know(m_dispatchers.size() - 1, all, all);
    }
  }

  /// \brief Starts a process anew, without any memory.
  void Restart(std::size_t process, const core::HostId& host) {
    std::erase_if(m_running, [&](const auto& e) { return e.second.process == process; });
    m_dispatchers[process] = MakeDispatcher(host);
    Step(process, m_last_list[process]);
  }
  void Know(std::size_t process, std::vector<core::HostId> live,
            std::vector<core::HostId> possibly_running) {
    PeerRateLimitsChanged changed;
    changed.processes = std::move(live);
    changed.possibly_running = std::move(possibly_running);
    Step(process, changed);
  }
  /// \brief The process reads the entries of all upstreams.
  void Read(std::size_t process, std::optional<core::Instant> cold_until,
            std::uint64_t incarnation = 1) {
    UpstreamsChanged changed;
    for (int n = 0; n < m_upstreams; ++n) {
      changed.upstreams.push_back({UpstreamNo(n), 10, incarnation, cold_until, kColdPerSecond});
    }
    m_last_list[process] = changed;
    Step(process, changed);
  }
  void ReadAll(std::optional<core::Instant> cold_until, std::uint64_t incarnation = 1) {
    for (std::size_t n = 0; n < m_dispatchers.size(); ++n) Read(n, cold_until, incarnation);
  }

  /// \brief Sends requests at random processes; each takes 30 ms.
  void Run(core::Duration time, double per_second) {
    const core::Instant end = m_now + time;
    while (m_now < end) {
      m_now += milliseconds(1);
      EndDue();
      for (double sent = m_random.Unit(); sent < per_second / 1'000; ++sent) {
        RequestArrived arrival;
        arrival.request = core::RequestId(std::to_string(++m_sent));
        arrival.target_latency = milliseconds(400);
        Step(m_random.Below(m_dispatchers.size()), arrival);
      }
    }
  }

  /// \brief Most requests of one upstream in any window of this length within a time.
  double MostInWindow(core::Instant from, core::Instant to, core::Duration length) const {
    std::size_t most = 0;
    for (const auto& [upstream, starts] : m_starts) {
      std::deque<core::Instant> window;
      for (const core::Instant at : starts) {
        if (at < from || at >= to) continue;
        window.push_back(at);
        while (window.front() + length <= at) window.pop_front();
        most = std::max(most, window.size());
      }
    }
    return static_cast<double>(most);
  }
  double StartsIn(core::Instant from, core::Instant to) const {
    std::size_t count = 0;
    for (const auto& [upstream, starts] : m_starts) {
      count += static_cast<std::size_t>(std::count_if(
          starts.begin(), starts.end(), [&](core::Instant at) { return at >= from && at < to; }));
    }
    return static_cast<double>(count);
  }
  std::size_t Reports(bool cold) const { return cold ? m_cold_reports : m_warm_reports; }
  core::Instant now() const { return m_now; }

 private:
  struct Running {
    std::size_t process;
    core::RequestId request;
  };

  Dispatcher MakeDispatcher(const core::HostId& host) {
    DispatcherConfig config;
    config.seed = ++m_seed;
    config.upstreams.self = host;
    return Dispatcher(config);
  }

  void Step(std::size_t process, const DispatchEvent& event) {
    for (const DispatchAction& action : m_dispatchers[process].Step(m_now, event)) {
      if (const auto* changed = std::get_if<ColdChanged>(&action)) {
        ++(changed->cold ? m_cold_reports : m_warm_reports);
      }
      const auto* assigned = std::get_if<Assigned>(&action);
      if (!assigned) continue;
      m_starts[assigned->upstream].push_back(m_now);
      m_running.emplace(m_now + milliseconds(30), Running{process, assigned->request});
    }
  }

  void EndDue() {
    while (!m_running.empty() && m_running.begin()->first <= m_now) {
      const Running running = m_running.begin()->second;
      m_running.erase(m_running.begin());
      Step(running.process, AttemptEnded{running.request, AttemptEnd::kCompleted});
    }
    for (std::size_t n = 0; n < m_dispatchers.size(); ++n) {
      const auto wake = m_dispatchers[n].NextWake();
      if (wake && *wake <= m_now) Step(n, DispatchTick{});
    }
  }

  core::Random m_random;
  int m_upstreams;
  std::uint64_t m_seed = 0;
  core::Instant m_now = At(1'000);
  int m_sent = 0;
  std::size_t m_cold_reports = 0;
  std::size_t m_warm_reports = 0;
  std::vector<Dispatcher> m_dispatchers;
  std::vector<UpstreamsChanged> m_last_list;
  std::multimap<core::Instant, Running> m_running;
  std::map<core::UpstreamId, std::vector<core::Instant>> m_starts;
};

constexpr int kProcesses = 44;
constexpr int kUpstreams = 6;
/// Each process reports each upstream once.
constexpr std::size_t kReports = std::size_t{kProcesses} * kUpstreams;
/// Far more than six cold upstreams take.
constexpr double kPerSecond = 900;

}  // namespace

// Load: a whole data centre returns cold. Guards against a rate that each process keeps by itself.
TEST_CASE("44 processes together keep to the rate of cold upstreams, and use it") {
  Fleet fleet(kProcesses, kUpstreams, 1);
  const core::Instant end = fleet.now() + seconds(12);
  fleet.ReadAll(end);
  fleet.Run(seconds(12), kPerSecond);
  CHECK(fleet.MostInWindow(At(0), end, seconds(1)) <= kAllowed);
  // From the third second on, at least half of the rate is used.
  CHECK(fleet.StartsIn(end - seconds(9), end) >= 9 * kUpstreams * kColdPerSecond / 2);
  CHECK(fleet.Reports(true) == kReports);
}

// Load: a whole data centre returns cold while half of the processes are new under names that the
// others have not heard of. The new ones know all, from the registrations.
TEST_CASE("processes that have just started keep to the rate of cold upstreams") {
  for (std::uint64_t seed = 1; seed <= 10; ++seed) {
    Fleet fleet(kProcesses, kUpstreams, seed);
    const core::Instant end = fleet.now() + seconds(10);
    fleet.ReadAll(end);
    fleet.Run(seconds(3), kPerSecond);
    const std::vector<core::HostId> old_half = Hosts(22, 44);
    std::vector<core::HostId> all = old_half;
    for (const auto& host : Hosts(100, 122)) all.push_back(host);
    // The old ones know only each other.
    for (std::size_t n = 22; n < 44; ++n) fleet.Know(n, old_half, old_half);
    for (std::size_t n = 0; n < 22; ++n) {
      fleet.Restart(n, core::HostId("entry-" + std::to_string(100 + n)));
      fleet.Know(n, all, all);
    }
    fleet.Run(seconds(7), kPerSecond);
    CHECK(fleet.MostInWindow(At(0), end, seconds(1)) <= kAllowed);
  }
}

// Load: a whole data centre returns cold while half of the processes are cut off from each other
// and from the rest. Guards against processes that take the silent ones for ended.
TEST_CASE("processes out of touch keep to their share of the rate of cold upstreams") {
  for (std::uint64_t seed = 1; seed <= 10; ++seed) {
    Fleet fleet(kProcesses, kUpstreams, seed);
    const core::Instant end = fleet.now() + seconds(10);
    fleet.ReadAll(end);
    const std::vector<core::HostId> all = Hosts(0, kProcesses);
    fleet.Run(seconds(3), kPerSecond);
    for (std::size_t n = 0; n < 22; ++n) fleet.Know(n, {all[n]}, all);
    for (std::size_t n = 22; n < 44; ++n) fleet.Know(n, Hosts(22, 44), all);
    fleet.Run(seconds(7), kPerSecond);
    CHECK(fleet.MostInWindow(At(0), end, seconds(1)) <= kAllowed);
  }
}

// Load: the data centre returns cold, all processes restart under their names and learn of each
// other 300 ms after the entries.
TEST_CASE("a process sends nothing to a cold upstream before it can know of the others") {
  Fleet fleet(kProcesses, kUpstreams, 5);
  const core::Instant end = fleet.now() + seconds(8);
  fleet.ReadAll(end);
  fleet.Run(seconds(3), kPerSecond);
  for (std::size_t n = 0; n < kProcesses; ++n) fleet.Restart(n, Hosts(0, kProcesses)[n]);
  fleet.Run(milliseconds(300), kPerSecond);
  const std::vector<core::HostId> all = Hosts(0, kProcesses);
  for (std::size_t n = 0; n < kProcesses; ++n) fleet.Know(n, all, all);
  fleet.Run(milliseconds(4'700), kPerSecond);
  CHECK(fleet.MostInWindow(At(0), end, seconds(1)) <= kAllowed);
}

// Guards against a jump from the share to all slots at the end of the cold time.
TEST_CASE("the rate rises in a ramp after the cold time, and the limit ends") {
  // With a steady clock, or because the entries say that the upstreams are warm earlier.
  for (const bool earlier : {false, true}) {
    Fleet fleet(kProcesses, kUpstreams, 3);
    const core::Instant end = fleet.now() + seconds(6);
    fleet.ReadAll(earlier ? end + seconds(30) : end);
    fleet.Run(seconds(6), 3'000);
    if (earlier) fleet.ReadAll(std::nullopt);
    fleet.Run(seconds(6), 3'000);
    double before = kColdPerSecond * kUpstreams;
    for (int n = 0; n < 4; ++n) {
      const core::Instant from = end + seconds(n);
      const double starts = fleet.StartsIn(from, from + seconds(1));
      CAPTURE(earlier, n, before, starts);
      CHECK(starts >= before);
      CHECK(starts < before * 3);
      before = starts;
    }
    CHECK(before > 4 * kColdPerSecond * kUpstreams);
    CHECK(fleet.StartsIn(end + seconds(5), end + seconds(6)) > 1'500);
    CHECK(fleet.Reports(false) == kReports);
  }
}

TEST_CASE("an upstream that starts again without a cold time is used at once") {
  Fleet fleet(1, 1, 4);
  fleet.ReadAll(fleet.now() + seconds(30));
  fleet.Run(seconds(3), 200);
  const core::Instant restart = fleet.now();
  fleet.ReadAll(std::nullopt, 2);
  fleet.Run(seconds(1), 200);
  CHECK(fleet.StartsIn(restart, fleet.now()) > 150);
  CHECK(fleet.Reports(false) == 1);
}

// Guards against a cold state of services that have none.
TEST_CASE("without a cold rate an entry's cold time changes nothing") {
  DispatcherConfig config;
  config.upstreams.self = core::HostId("entry-0");
  Dispatcher dispatcher(config);
  dispatcher.Step(At(0), UpstreamsChanged{{{UpstreamNo(0), 10, 1, At(60'000), 0}}});
  RequestArrived arrival;
  arrival.request = core::RequestId("r");
  arrival.target_latency = milliseconds(400);
  const auto actions = dispatcher.Step(At(1), arrival);
  REQUIRE(actions.size() == 1);
  CHECK(std::holds_alternative<Assigned>(actions.front()));
  CHECK(dispatcher.cold_upstreams() == 0);
}

TEST_CASE("the lower of a named rate limit and the cold rate binds") {
  DispatcherConfig config;
  config.upstreams.self = core::HostId("entry-0");
  for (const double named : {2.0, 60.0}) {
    Dispatcher dispatcher(config);
    dispatcher.Step(At(0), UpstreamsChanged{{{UpstreamNo(0), 100, 1, At(60'000), kColdPerSecond}}});
    dispatcher.Step(At(0), RateLimitObserved{UpstreamNo(0), named});
    int assigned = 0;
    for (int ms = 2'000; ms < 12'000; ++ms) {
      RequestArrived arrival;
      arrival.request = core::RequestId(std::to_string(ms));
      arrival.target_latency = milliseconds(1);
      for (const auto& action : dispatcher.Step(At(ms), arrival)) {
        const auto* start = std::get_if<Assigned>(&action);
        if (!start) continue;
        ++assigned;
        // A refusal gives nothing back: it counts in the rule.
        dispatcher.Step(At(ms), AttemptEnded{start->request, AttemptEnd::kRefused});
      }
    }
    CHECK(assigned >= 10 * std::min(named, kColdPerSecond) - 2);
    CHECK(assigned <= 10 * std::min(named, kColdPerSecond) + 1);
  }
}

TEST_CASE("the expected wait takes the cold rate for the capacity of an upstream") {
  DispatcherConfig config;
  config.upstreams.self = core::HostId("entry-0");
  Dispatcher dispatcher(config);
  dispatcher.Step(At(0), UpstreamsChanged{{{UpstreamNo(0), 100, 1, At(60'000), 1}}});
  dispatcher.Step(At(600), DispatchTick{});
  RequestArrived arrival;
  arrival.request = core::RequestId("r");
  arrival.target_latency = milliseconds(400);
  const auto actions = dispatcher.Step(At(700), arrival);
  REQUIRE(actions.size() == 1);
  const auto* rejected = std::get_if<Rejected>(&actions.front());
  REQUIRE(rejected);
  CHECK(rejected->reason == RejectReason::kOverloaded);
  CHECK(rejected->retry_after >= milliseconds(500));
}

}  // namespace cornelrelay::dispatch
