#include "cornelrelay/peers/peer_table.h"

#include <catch2/catch.hpp>

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
  status.items_revision = revision;
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

TEST_CASE("items are fetched from a peer at once, or after a delay while the store is connected") {
  PeerTable peers(Config());
  peers.Step(At(0), LocalItemsChanged{10, true});
  CHECK_FALSE(
      FindAction<FetchItems>(peers.Step(At(1), PeerStatusReceived{StatusFrom("a", 1, 12)})));
  const auto later = peers.Step(At(130), PeerTick{});
  REQUIRE(FindAction<FetchItems>(later));
  CHECK(FindAction<FetchItems>(later)->since == 10);
  CHECK_FALSE(FindAction<FetchItems>(peers.Step(At(140), PeerTick{})));
  peers.Step(At(150), LocalItemsChanged{12, false});
  peers.Step(At(150), FetchEnded{true});
  CHECK(FindAction<FetchItems>(peers.Step(At(160), PeerStatusReceived{StatusFrom("a", 2, 13)})));
}

TEST_CASE("a failed fetch is not repeated before its time-out") {
  PeerTable peers(Config());
  CHECK(FindAction<FetchItems>(peers.Step(At(1), PeerStatusReceived{StatusFrom("a", 1, 12)})));
  CHECK_FALSE(FindAction<FetchItems>(peers.Step(At(2), FetchEnded{false})));
  CHECK(FindAction<FetchItems>(peers.Step(At(700), PeerStatusReceived{StatusFrom("a", 2, 12)})));
}

TEST_CASE("status messages stay within the datagram budget while the load changes") {
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
  CHECK(sent <= 2'200);
}

}  // namespace cornelrelay::peers
