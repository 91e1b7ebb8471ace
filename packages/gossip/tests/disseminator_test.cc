#include "cornelrelay/gossip/disseminator.h"

#include <bit>
#include <catch2/catch.hpp>
#include <chrono>
#include <set>

#include "cornelrelay/gossip/message_size.h"

namespace cornelrelay::gossip::testing {
namespace {

using namespace std::chrono_literals;

struct Fixture {
  explicit Fixture(int members) {
    settings.self = core::HostId("self");
    for (int i = 0; i < members; ++i) {
      Record record;
      record.key.subject = "entry-" + std::to_string(i);
      record.origin = core::HostId(record.key.subject);
      record.version = {1, 1};
      record.payload = MemberState{Life::kAlive,
                                   Role::kEntry,
                                   core::DataCentreId("dc"),
                                   {"127.0.0.1", static_cast<std::uint16_t>(i + 1)},
                                   0};
      table.Merge(record, now);
    }
    Record notice;
    notice.key.kind = RecordKind::kUpstreamLeaving;
    notice.key.subject = "upstream-1";
    notice.origin = core::HostId("agent");
    notice.version = {1, 1};
    notice.time_to_live = kLeavingLife;
    notice.payload = LeavingNotice{};
    table.Merge(notice, now);
  }

  std::vector<Send> Tick() {
    std::vector<Send> sends;
    for (Action& action : disseminator.Step(now, DisseminatorTick{})) {
      sends.push_back(std::move(std::get<Send>(action)));
    }
    now += 250ms;
    return sends;
  }

  core::Instant now{};
  NodeSettings settings;
  RecordTable table;
  Roster roster{settings, table};
  Disseminator disseminator{settings, table, roster};
};

// Guards against traffic over the byte budget, and datagrams over the limit.
TEST_CASE("rounds keep to the byte budget and the datagram limit") {
  Fixture fixture(500);
  for (const auto& [key, stored] : fixture.table.records()) {
    fixture.disseminator.Step(fixture.now, News{key, Urgency::kSuspicion});
  }
  std::size_t bytes = 0;
  for (int round = 0; round < 240; ++round) {
    for (const Send& send : fixture.Tick()) {
      const std::size_t size = EncodedSize(send.message) + EnvelopeBytes(fixture.settings.self);
      CHECK(size <= kDatagramLimit);
      bytes += size + kNetworkBytes;
    }
  }
  CHECK(bytes <= 60 * 3000 + 1500);
  CHECK(bytes > 60 * 2500);
}

// Guards against urgent records that wait behind others, or are not sent 3 log2(n) times to
// distinct members.
TEST_CASE("an urgent record goes to three members a round, 3 log2(n) times") {
  Fixture fixture(63);
  const RecordKey key{RecordKind::kUpstreamLeaving, "upstream-1"};
  for (const auto& [other, stored] : fixture.table.records()) {
    fixture.disseminator.Step(fixture.now, News{other, Urgency::kJoin});
  }
  fixture.disseminator.Step(fixture.now, News{key, Urgency::kLeaving});
  unsigned sent = 0;
  for (int round = 0; round < 7; ++round) {
    std::set<core::HostId> targets;
    for (const Send& send : fixture.Tick()) {
      const auto& push = std::get<GossipPush>(send.message);
      // Table repetition comes last in a datagram; an urgent record comes first.
      if (push.records.at(0).key == key && targets.insert(send.to).second) ++sent;
      if (targets.size() == 3) break;
    }
    CHECK(targets.size() == 3);
  }
  CHECK(sent == 3 * std::bit_width(64U));
}

}  // namespace
}  // namespace cornelrelay::gossip::testing
