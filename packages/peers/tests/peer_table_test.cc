#include "cornelrelay/peers/peer_table.h"

#include <catch2/catch.hpp>
#include <set>
#include <string>

namespace cornelrelay::peers {
namespace {

using std::chrono::milliseconds;

core::Instant At(std::int64_t ms) { return core::Instant(milliseconds(ms)); }

PeerStatus StatusFrom(const std::string& host, std::uint64_t sequence, std::int64_t revision = 0,
                      std::uint32_t in_flight = 1) {
  PeerStatus status;
  status.host = core::HostId(host);
  status.endpoint = {"10.0.0.1", 7000};
  status.incarnation = 1;
  status.sequence = sequence;
  status.items_version = {0, revision};
  status.loads = {{core::UpstreamId("u"), in_flight}};
  return status;
}

template <class Action>
const Action* FindAction(const std::vector<PeerAction>& actions) {
  for (const auto& action : actions) {
    if (const auto* found = std::get_if<Action>(&action)) return found;
  }
  return nullptr;
}

PeerTableConfig Config() {
  PeerTableConfig config;
  config.self = core::HostId("self");
  return config;
}

}  // namespace

TEST_CASE("the loads of all live peers add up, and those of silent peers are dropped") {
  PeerTable peers(Config());
  peers.Step(At(0), PeerStatusReceived{StatusFrom("a", 1, 0, 3)});
  peers.Step(At(1000), PeerStatusReceived{StatusFrom("b", 1, 0, 4)});
  CHECK(peers.InFlight().at(core::UpstreamId("u")) == 7);
  CHECK(FindAction<PeerSilent>(peers.Step(At(1600), PeerTick{})));
  CHECK(peers.InFlight().at(core::UpstreamId("u")) == 4);
}

// UDP may deliver datagrams out of order.
TEST_CASE("a status that arrives late does not replace a newer one") {
  PeerTable peers(Config());
  peers.Step(At(0), PeerStatusReceived{StatusFrom("a", 5, 0, 3)});
  peers.Step(At(1), PeerStatusReceived{StatusFrom("a", 4, 0, 9)});
  CHECK(peers.InFlight().at(core::UpstreamId("u")) == 3);
}

TEST_CASE("newer items are fetched from a peer at once, or later while the store is connected") {
  PeerTable peers(Config());
  peers.Step(At(0), LocalItemsChanged{{0, 10}, 0, true});
  CHECK_FALSE(
      FindAction<FetchItems>(peers.Step(At(1), PeerStatusReceived{StatusFrom("a", 1, 12)})));
  const auto later = peers.Step(At(130), PeerTick{});
  REQUIRE(FindAction<FetchItems>(later));
  CHECK(FindAction<FetchItems>(later)->since == store::StoreVersion{0, 10});
  CHECK_FALSE(FindAction<FetchItems>(peers.Step(At(140), PeerTick{})));
  peers.Step(At(150), LocalItemsChanged{{0, 12}, 0, false});
  peers.Step(At(150), FetchEnded{true});
  CHECK(FindAction<FetchItems>(peers.Step(At(160), PeerStatusReceived{StatusFrom("a", 2, 13)})));
}

// Guards against CONFIG of issue 27: items of a restored store were not fetched, because their
// revisions are lower than those before the restore.
TEST_CASE("items of a newer era are fetched, whatever their revision, and those of an older not") {
  PeerTable peers(Config());
  peers.Step(At(0), LocalItemsChanged{{1, 90}, 0, false});
  PeerStatus restored = StatusFrom("a", 1);
  restored.items_version = {2, 40};
  const auto actions = peers.Step(At(1), PeerStatusReceived{restored});
  REQUIRE(FindAction<FetchItems>(actions));
  CHECK(FindAction<FetchItems>(actions)->since == store::StoreVersion{1, 90});
  peers.Step(At(2), LocalItemsChanged{{3, 10}, 0, false});
  peers.Step(At(2), FetchEnded{true});
  CHECK_FALSE(FindAction<FetchItems>(peers.Step(At(3), PeerTick{})));
}

// Guards against CONFIG of issue 27: a process that starts after a restore of the store reads a
// configuration there that is older than the one that its peers have confirmed.
TEST_CASE("a newer configuration is fetched from a peer, though the items are no newer") {
  PeerTable peers(Config());
  peers.Step(At(0), LocalItemsChanged{{2, 40}, 7, true});
  PeerStatus status = StatusFrom("a", 1);
  status.items_version = {2, 40};
  status.configuration_version = 9;
  peers.Step(At(1), PeerStatusReceived{status});
  const auto actions = peers.Step(At(130), PeerTick{});
  REQUIRE(FindAction<FetchItems>(actions));
  CHECK(FindAction<FetchItems>(actions)->configuration_version == 7);
}

// Guards against fetches without pause: what a peer knows may be of no use here.
TEST_CASE("after a fetch that brought nothing new, the next one waits for the retry interval") {
  PeerTable peers(Config());
  peers.Step(At(0), LocalItemsChanged{{2, 40}, 7, false});
  PeerStatus status = StatusFrom("a", 1);
  status.configuration_version = 9;
  REQUIRE(FindAction<FetchItems>(peers.Step(At(1), PeerStatusReceived{status})));
  peers.Step(At(5), LocalItemsChanged{{2, 40}, 7, false});
  CHECK_FALSE(FindAction<FetchItems>(peers.Step(At(5), FetchEnded{true})));
  CHECK_FALSE(FindAction<FetchItems>(peers.Step(At(300), PeerTick{})));
  CHECK(FindAction<FetchItems>(peers.Step(At(700), PeerTick{})));
}

TEST_CASE("after a failed fetch, the next one starts only when the retry interval has passed") {
  PeerTable peers(Config());
  CHECK(FindAction<FetchItems>(peers.Step(At(1), PeerStatusReceived{StatusFrom("a", 1, 12)})));
  CHECK_FALSE(FindAction<FetchItems>(peers.Step(At(2), FetchEnded{false})));
  CHECK(FindAction<FetchItems>(peers.Step(At(700), PeerStatusReceived{StatusFrom("a", 2, 12)})));
}

TEST_CASE("statuses to 100 peers stay within the datagram budget while the load keeps changing") {
  PeerTable peers(Config());
  for (int i = 0; i < 100; ++i) {
    peers.Step(At(0), PeerRegistered{core::HostId("h" + std::to_string(i)), {"10.0.0.1", 1}});
  }
  std::size_t sent = 0;
  for (int ms = 0; ms < 10'000; ms += 5) {
    for (int i = 0; i < 100; ++i) {
      PeerStatus status = StatusFrom("h" + std::to_string(i), static_cast<std::uint64_t>(ms + 1));
      if (ms % 1000 == 0) peers.Step(At(ms), PeerStatusReceived{status});
    }
    peers.Step(At(ms), LocalLoadChanged{});
    if (const auto* send = FindAction<SendStatus>(peers.Step(At(ms), PeerTick{}))) {
      sent += send->to.size();
    }
  }
  // 200 datagrams a second for 10 s, plus 10 %.
  CHECK(sent <= 2'200);
}

// Load pattern: a fleet of hundreds of processes, where each watch of the store is paid for.
TEST_CASE(
    "two processes of each data centre of a large fleet follow the store, and others step in") {
  constexpr std::size_t kDataCentres = 5, kEach = 30;
  const auto name = [](std::size_t centre, std::size_t i) {
    return "front-" + std::to_string(centre) + "-" + std::to_string(i);
  };
  const auto role_of = [&](std::size_t centre, std::size_t self,
                           const std::set<std::string>& disconnected,
                           const std::set<std::string>& silent) {
    PeerTableConfig config;
    config.self = core::HostId(name(centre, self));
    config.data_centre = core::DataCentreId(std::to_string(centre));
    PeerTable peers(config);
    for (std::size_t c = 0; c < kDataCentres; ++c) {
      for (std::size_t i = 0; i < kEach; ++i) {
        if (silent.contains(name(c, i))) continue;
        PeerStatus status = StatusFrom(name(c, i), 1);
        status.data_centre = core::DataCentreId(std::to_string(c));
        status.store_connected = !disconnected.contains(name(c, i));
        peers.Step(At(0), PeerStatusReceived{status});
      }
    }
    return peers.store_role();
  };
  const auto with_role = [&](StoreRole role, const std::set<std::string>& disconnected,
                             const std::set<std::string>& silent) {
    std::set<std::string> hosts;
    for (std::size_t c = 0; c < kDataCentres; ++c) {
      for (std::size_t i = 0; i < kEach; ++i) {
        const bool has =
            !silent.contains(name(c, i)) && role_of(c, i, disconnected, silent) == role;
        if (has) hosts.insert(name(c, i));
      }
    }
    return hosts;
  };
  const auto readers = with_role(StoreRole::kReader, {}, {});
  CHECK(readers.size() == 2 * kDataCentres);
  CHECK(with_role(StoreRole::kSubstitute, {}, {}).empty());
  // Processes that the store turns away are replaced by the next ones of their data centres.
  CHECK(with_role(StoreRole::kSubstitute, readers, {}).size() == 2 * kDataCentres);
  CHECK(with_role(StoreRole::kReader, {}, readers).size() == 2 * kDataCentres);
}

TEST_CASE("all processes of a small fleet follow the store") {
  PeerTable peers(Config());
  CHECK(peers.store_role() == StoreRole::kReader);
  for (int i = 0; i < 11; ++i) {
    PeerStatus status = StatusFrom("peer-" + std::to_string(i), 1);
    status.store_connected = true;
    peers.Step(At(0), PeerStatusReceived{status});
  }
  CHECK(peers.store_role() == StoreRole::kReader);
}

// Load pattern: a new configuration in a large fleet, whose statuses are rare.
TEST_CASE("a process that follows the store announces new items at once, the others do not") {
  PeerTable peers(Config());
  for (int i = 0; i < 150; ++i) {
    peers.Step(At(0), PeerStatusReceived{StatusFrom("peer-" + std::to_string(i), 1)});
  }
  peers.Step(At(1'000), PeerTick{});
  CHECK_FALSE(FindAction<SendStatus>(peers.Step(At(1'150), LocalItemsChanged{{0, 5}, 0, false})));
  const auto announced = peers.Step(At(1'200), LocalItemsChanged{{0, 6}, 0, true});
  REQUIRE(FindAction<SendStatus>(announced));
  CHECK(FindAction<SendStatus>(announced)->to.size() == 150);
  CHECK_FALSE(FindAction<SendStatus>(peers.Step(At(1'250), LocalItemsChanged{{0, 7}, 0, true})));
  CHECK(peers.NextWake() == At(1'300));
  CHECK(FindAction<SendStatus>(peers.Step(At(1'300), PeerTick{})));
}

TEST_CASE("a lost status of a peer in a large fleet does not make the peer look silent") {
  PeerTable peers(Config());
  for (int i = 0; i < 150; ++i) {
    peers.Step(At(0), PeerStatusReceived{StatusFrom("peer-" + std::to_string(i), 1)});
  }
  // Statuses are 750 ms apart; the second one is lost.
  CHECK_FALSE(FindAction<PeerSilent>(peers.Step(At(1'700), PeerTick{})));
  CHECK(FindAction<PeerSilent>(peers.Step(At(2'400), PeerTick{})));
}

// Guards against a process that takes over the shares of peers that it only does not hear: the
// rates of cold upstreams would be spent twice.
TEST_CASE("registered and recently silent peers count as possibly running for a bounded time") {
  PeerTable peers(Config());
  peers.Step(At(0), PeerStatusReceived{StatusFrom("a", 1)});
  peers.Step(At(0), PeerRegistered{core::HostId("b"), {"10.0.0.2", 7000}});
  CHECK(peers.PossiblyRunningProcesses(At(0)).size() == 3);
  peers.Step(At(1'600), PeerTick{});
  CHECK(peers.LiveProcesses().size() == 1);
  CHECK(peers.PossiblyRunningProcesses(At(500'000)).size() == 3);
  CHECK(peers.PossiblyRunningProcesses(At(600'000)).size() == 2);
  CHECK(peers.PossiblyRunningProcesses(At(601'600)).size() == 1);
  peers.Step(At(700'000), PeerRegistered{core::HostId("b"), {"10.0.0.2", 7000}});
  peers.Step(At(700'001), PeerUnregistered{core::HostId("b")});
  CHECK(peers.PossiblyRunningProcesses(At(700'002)).size() == 1);
}

// Guards against urgent requests that are delayed by less urgent ones of peers.
TEST_CASE("the queues of live peers are added up by priority") {
  PeerTable peers(Config());
  const core::ServiceId llm("llm");
  PeerStatus first = StatusFrom("a", 1);
  first.queues = {{llm, 0, 2}, {llm, 2, 5}, {core::ServiceId("other"), 0, 9}};
  PeerStatus second = StatusFrom("b", 1);
  second.queues = {{llm, 2, 1}};
  peers.Step(At(0), PeerStatusReceived{first});
  peers.Step(At(1'000), PeerStatusReceived{second});
  CHECK(peers.Waiting(llm) == std::map<std::uint8_t, std::uint32_t>{{0, 2}, {2, 6}});
  // The first peer is silent, so that its requests no longer count.
  peers.Step(At(1'600), PeerTick{});
  CHECK(peers.Waiting(llm) == std::map<std::uint8_t, std::uint32_t>{{2, 1}});
}

}  // namespace cornelrelay::peers
