#include <rapidcheck.h>

#include <catch2/catch.hpp>
#include <chrono>
#include <set>

#include "sim_network.h"

namespace cornelrelay::gossip::testing {
namespace {

using namespace std::chrono_literals;

constexpr int kEntries = 6;
constexpr int kHosts = 10;

struct Operation {
  int kind = 0;
  int host = 0;
  int value = 0;
};

void showValue(const Operation& operation, std::ostream& out) {  // NOLINT: RapidCheck's name
  out << "{" << operation.kind << ", " << operation.host << ", " << operation.value << "}";
}

rc::Gen<Operation> AnyOperation() {
  return rc::gen::map(
      rc::gen::tuple(rc::gen::inRange(0, 9), rc::gen::inRange(0, kHosts), rc::gen::inRange(0, 30)),
      [](const auto& t) {
        return Operation{std::get<0>(t), std::get<1>(t), std::get<2>(t)};
      });
}

/// \brief What must be true once the faults end, kept beside the real machines.
struct Oracle {
  std::set<int> crashed;
  std::set<int> leaving;  // agents whose running process gave a notice
};

void Apply(SimNetwork& net, Oracle& oracle, const Operation& op) {
  switch (op.kind) {
    case 0:
      net.Crash(op.host);
      oracle.crashed.insert(op.host);
      oracle.leaving.erase(op.host);
      break;
    case 1:
      if (oracle.crashed.erase(op.host) > 0) net.Start(op.host);
      break;
    case 2:
      net.Pause(op.host);
      break;
    case 3:
      net.Resume(op.host);
      break;
    case 4: {
      std::vector<int> sides(kHosts);
      for (int host = 0; host < kHosts; ++host) sides[host] = op.value >> (host % 5) & 1;
      net.Partition(sides);
      break;
    }
    case 5:
      net.Partition(std::vector<int>(kHosts, 0));
      break;
    case 6:
      if (!net.IsEntry(op.host) && net.Running(op.host)) {
        net.Send(op.host, AnnounceLeaving{net.Upstream(op.host)});
        oracle.leaving.insert(op.host);
      }
      break;
    case 7:
      net.SendFullHostList();
      break;
    default:
      net.loss = op.value / 100.0;
      net.duplication = op.host / 20.0;
      net.max_delay = op.value % 3 == 0 ? core::Duration(2s) : core::Duration(20ms);
  }
  net.Run(op.value * 400ms);
}

/// \brief First difference between the views and the oracle after faults ended; empty if none.
std::string Difference(const SimNetwork& net, const Oracle& oracle) {
  for (int entry = 0; entry < kEntries; ++entry) {
    if (!net.Running(entry)) continue;
    const std::string at = " at entry " + std::to_string(entry);
    for (int host = 0; host < kHosts; ++host) {
      const bool alive = net.LifeSeen(entry, host) == Life::kAlive;
      if (alive != net.Running(host)) return "life of host " + std::to_string(host) + at;
    }
    for (int agent = kEntries; agent < kHosts; ++agent) {
      if (!net.Running(agent)) continue;
      const auto known = UpstreamView(net.node(entry).table()).Find(net.Upstream(agent), net.now());
      const std::string name = "upstream of " + std::to_string(agent) + at;
      if (!known) return "missing " + name;
      if (known->leaving != oracle.leaving.contains(agent)) return "leaving " + name;
      if (known->status.load != net.LoadOf(agent)) return "load of " + name;
    }
  }
  return "";
}

std::string RunCase(const std::vector<Operation>& operations, SimNetwork::Options options) {
  options.entries = kEntries;
  options.agents = kHosts - kEntries;
  SimNetwork net(options);
  Oracle oracle;
  net.Run(5s);
  for (const Operation& operation : operations) Apply(net, oracle, operation);
  net.Partition(std::vector<int>(kHosts, 0));
  net.loss = net.duplication = 0;
  net.max_delay = 20ms;
  for (int host = 0; host < kHosts; ++host) {
    if (!oracle.crashed.contains(host)) net.Resume(host);
  }
  net.Run(60s);
  net.reports = false;
  net.Run(30s);
  return Difference(net, oracle);
}

// Guards against views that stay different, a member or notice that is lost, and a dead process
// that stays listed, after any mix of loss, delay, duplication, reordering, partitions, pauses and
// restarts has ended.
TEST_CASE("views converge after faults end") {
  CHECK(rc::check([] {
    SimNetwork::Options options;
    options.seed = *rc::gen::arbitrary<std::uint32_t>();
    options.topology = *rc::gen::element(Topology::kFlat, Topology::kLeafAgents);
    options.encoding = *rc::gen::element(StatusEncoding::kFullRecords, StatusEncoding::kTypedDeltas,
                                         StatusEncoding::kPackedArray);
    const auto operations = *rc::gen::container<std::vector<Operation>>(AnyOperation());
    const std::string difference = RunCase(operations, options);
    if (!difference.empty()) RC_FAIL(difference);
  }));
}

// An entry process is down long enough to be removed, then restarts; an upstream leaves.
std::vector<Operation> RestartAndLeave() {
  return {{0, 2, 29}, {7, 0, 29}, {7, 0, 29}, {7, 0, 29}, {1, 2, 20}, {6, 8, 2}};
}

// Shows that the convergence check detects its failures, and passes without the faults.
TEST_CASE("the convergence check detects deliberate faults") {
  CHECK(RunCase(RestartAndLeave(), {}).empty());
  CHECK_FALSE(RunCase(RestartAndLeave(), {.faults = {.drop_leaving_notices = true}}).empty());
  CHECK_FALSE(RunCase(RestartAndLeave(), {.faults = {.ignore_incarnation = true}}).empty());
}

}  // namespace
}  // namespace cornelrelay::gossip::testing
