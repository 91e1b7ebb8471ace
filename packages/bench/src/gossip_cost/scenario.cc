#include "gossip_cost/scenario.h"

#include <algorithm>
#include <cstdio>
#include <vector>

#include "cornelrelay/gossip/upstream_view.h"

namespace cornelrelay::bench {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr core::Duration kWarmUp = seconds(15);
constexpr core::Duration kWorstMinute = seconds(60);
constexpr core::Duration kPoll = milliseconds(50);
constexpr core::Duration kPatience = seconds(60);
constexpr int kRestarts = 130;
constexpr std::uint64_t kRevision = 42;

double Seconds(core::Duration duration) { return std::chrono::duration<double>(duration).count(); }

bool ExcludedEverywhere(const CostNetwork& net, int agent) {
  for (int host = 0; host < net.options().entries; ++host) {
    if (!net.Running(host)) continue;
    const auto known =
        gossip::UpstreamView(net.node(host).table()).Find(net.Upstream(agent), net.now());
    if (known && !known->leaving) return false;
  }
  return true;
}

bool RevisionEverywhere(const CostNetwork& net, bool entries_only) {
  for (int host = 0; host < net.size(); ++host) {
    if (!net.Running(host) || (entries_only && !net.IsEntry(host))) continue;
    if (net.node(host).highest_revision() < kRevision) return false;
  }
  return true;
}

template <class Reached>
double TimeUntil(CostNetwork& net, Reached reached) {
  const core::Instant start = net.now();
  while (!reached() && net.now() - start < kPatience) net.Run(kPoll);
  return reached() ? Seconds(net.now() - start) : -1;
}

int RunningAgent(const CostNetwork& net, int skip) {
  for (int host = net.options().entries + skip; host < net.size(); ++host) {
    if (net.Running(host)) return host;
  }
  return net.size() - 1;
}

double LeavingTime(CostNetwork& net, int skip) {
  const int agent = RunningAgent(net, skip);
  net.Send(agent, gossip::AnnounceLeaving{net.Upstream(agent)});
  return TimeUntil(net, [&] { return ExcludedEverywhere(net, agent); });
}

void Restart(CostNetwork& net) {
  const int count = std::min(kRestarts, net.size() / 4);
  std::vector<int> hosts;
  hosts.reserve(count);
  for (int i = 0; i < count; ++i) hosts.push_back(i * net.size() / count);
  for (const int host : hosts) net.Crash(host);
  net.Run(seconds(5));
  for (const int host : hosts) net.Restart(host);
}

void Split(CostNetwork& net, bool apart) {
  std::vector<int> sides(net.options().data_centres, 0);
  for (std::size_t i = 0; apart && i < sides.size() / 2; ++i) sides[i] = 1;
  net.SetSides(sides);
}

void Begin(CostNetwork& net, Situation situation) {
  net.Run(kWarmUp);
  if (situation == Situation::kPartitionHealed) {
    Split(net, true);
    net.Run(seconds(60));
    const int agent = RunningAgent(net, 3);
    net.Send(agent, gossip::AnnounceLeaving{net.Upstream(agent)});
    net.Run(seconds(30));
    net.ResetTallies();
    Split(net, false);
    std::printf(
        "  notice given during the partition: at all entry processes %.2f s after healing\n",
        TimeUntil(net, [&] { return ExcludedEverywhere(net, agent); }));
    return;
  }
  net.ResetTallies();
  if (situation == Situation::kRestarts) Restart(net);
  if (situation == Situation::kCentreLost) {
    for (int host = 0; host < net.size(); ++host) {
      if (net.DataCentre(host) == net.options().data_centres - 1) net.Crash(host);
    }
  }
}

void PrintTally(const CostNetwork& net, gossip::Role role) {
  const Tally t = net.TallyOf(role);
  const double n = t.node_seconds;
  if (n == 0) return;
  std::size_t memory = 0;
  for (int host = 0; host < net.size(); ++host) {
    const bool counted = net.IsEntry(host) == (role == gossip::Role::kEntry) && net.Running(host);
    if (counted) memory = std::max(memory, net.MemoryBytes(host));
  }
  std::printf(
      "  %s  sent %6.0f B/s  received %6.0f B/s  busiest node %6.0f B/s  messages %5.1f+%5.1f /s"
      "  CPU %6.3f ms/s  table %7zu B  [exact: %llu B, %llu messages]\n",
      role == gossip::Role::kEntry ? "entry" : "agent", static_cast<double>(t.bytes_sent) / n,
      static_cast<double>(t.bytes_received) / n,
      static_cast<double>(t.worst_node_bytes) / Seconds(net.SinceReset()),
      static_cast<double>(t.messages_sent) / n, static_cast<double>(t.messages_received) / n,
      t.cpu_seconds / n * 1e3, memory, static_cast<unsigned long long>(t.bytes_sent),
      static_cast<unsigned long long>(t.messages_sent));
}

void PrintStaleness(const CostNetwork& net, bool near) {
  std::vector<double> ages;
  std::size_t unknown = 0;
  const int step = std::max(1, net.options().entries / 20);
  for (int entry = 0; entry < net.options().entries; entry += step) {
    if (!net.Running(entry)) continue;
    for (int agent = net.options().entries; agent < net.size(); ++agent) {
      if (!net.Running(agent) || (net.DataCentre(agent) == net.DataCentre(entry)) != near) continue;
      const core::Duration age = net.Staleness(entry, agent);
      if (age.count() < 0) {
        ++unknown;
      } else {
        ages.push_back(Seconds(age));
      }
    }
  }
  if (ages.empty()) return;
  std::sort(ages.begin(), ages.end());
  std::printf(
      "  load age, %s data centre%s: median %.2f s, 95th percentile %.2f s, unknown %zu of %zu\n",
      near ? "own" : "other", near ? "" : "s", ages[ages.size() / 2], ages[ages.size() * 95 / 100],
      unknown, ages.size() + unknown);
}

}  // namespace

std::string NameOf(Situation situation) {
  switch (situation) {
    case Situation::kSteady:
      return "steady";
    case Situation::kRestarts:
      return "130 restarts";
    case Situation::kCentreLost:
      return "data centre lost";
    case Situation::kPartitionHealed:
      return "partition healed";
  }
  return "";
}

void Measure(CostNetwork::Options options, Situation situation, int window_seconds) {
  std::printf("%d entry processes, %d agents, %s:\n", options.entries, options.agents,
              NameOf(situation).c_str());
  CostNetwork net(options);
  Begin(net, situation);
  const core::Duration window =
      situation == Situation::kSteady ? core::Duration(seconds(window_seconds)) : kWorstMinute;
  const core::Instant end = net.now() + window;
  // Notices that are given during the window; with the others they share the budget.
  net.Run(seconds(2));
  std::vector<double> times;
  for (int i = 0; i < 3 && net.now() + seconds(5) < end; ++i) {
    times.push_back(LeavingTime(net, 10 + i));
  }
  net.Run(std::max(core::Duration{}, end - net.now()));
  PrintTally(net, gossip::Role::kEntry);
  PrintTally(net, gossip::Role::kAgent);
  std::printf("  leaving notice at all entry processes:");
  for (const double time : times) std::printf(" %.2f s", time);
  std::printf("\n");
  PrintStaleness(net, true);
  PrintStaleness(net, false);
  const int origin = options.entries / 2;
  net.Send(net.Running(origin) ? origin : 0, gossip::SetRevision{kRevision});
  const double entries = TimeUntil(net, [&] { return RevisionEverywhere(net, true); });
  const double rest = TimeUntil(net, [&] { return RevisionEverywhere(net, false); });
  std::printf("  revision known at all entry processes %.2f s, at all processes %.2f s\n", entries,
              rest < 0 ? -1 : entries + rest);
  std::fflush(stdout);
}

}  // namespace cornelrelay::bench
