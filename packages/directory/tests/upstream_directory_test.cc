#include "cornelrelay/directory/upstream_directory.h"

#include <catch2/catch.hpp>

namespace cornelrelay::directory {
namespace {

using std::chrono::milliseconds;

const core::ServiceId kService("llm");

core::Instant At(std::int64_t ms) { return core::Instant(milliseconds(ms)); }
core::UpstreamId Id(int n) { return core::UpstreamId("i-" + std::to_string(n)); }

UpstreamEntry Entry(int n, std::uint64_t incarnation = 1) {
  UpstreamEntry entry;
  entry.id = Id(n);
  entry.service = kService;
  entry.incarnation = incarnation;
  return entry;
}

EntriesChanged Added(int from, int to) {
  EntriesChanged event;
  for (int n = from; n < to; ++n) event.changes.push_back({Id(n), Entry(n)});
  return event;
}

EntriesChanged Removed(int from, int to) {
  EntriesChanged event;
  for (int n = from; n < to; ++n) event.changes.push_back({Id(n), std::nullopt});
  return event;
}

UpstreamDirectory SixteenUpstreams() {
  UpstreamDirectory directory({});
  directory.Step(At(0), Added(0, 16));
  return directory;
}

}  // namespace

TEST_CASE("a draining or removed upstream is unusable at once") {
  UpstreamDirectory directory = SixteenUpstreams();
  UpstreamEntry leaving = Entry(0);
  leaving.leaving = true;
  directory.Step(At(10), EntriesChanged{{{Id(0), leaving}}});
  directory.Step(At(10), Removed(1, 2));
  CHECK(directory.Usable(kService).size() == 14);
}

// Guards against dropping all upstreams because their leases ran out while the store was
// unavailable.
TEST_CASE("entries that lapse in a store outage stay usable until re-registration is due") {
  UpstreamDirectory directory = SixteenUpstreams();
  directory.Step(At(1000), StoreLost{});
  directory.Step(At(6000), StoreRegained{});
  directory.Step(At(6010), Removed(0, 16));
  CHECK(directory.Usable(kService).size() == 16);
  directory.Step(At(7000), Added(0, 10));
  REQUIRE(directory.NextWake() == At(8000));
  directory.Step(At(8000), DirectoryTick{});
  CHECK(directory.Usable(kService).size() == 10);
}

TEST_CASE("a removal well after a store outage takes effect at once") {
  UpstreamDirectory directory = SixteenUpstreams();
  directory.Step(At(1000), StoreLost{});
  directory.Step(At(6000), StoreRegained{});
  directory.Step(At(8001), Removed(0, 1));
  CHECK(directory.Usable(kService).size() == 15);
}

// Guards against dropping healthy upstreams whose entries disappear although the store seems
// healthy.
TEST_CASE("the removal of most entries at once is deferred for a bounded time") {
  UpstreamDirectory directory = SixteenUpstreams();
  directory.Step(At(1000), Removed(0, 12));
  CHECK(directory.Usable(kService).size() == 16);
  directory.Step(At(2200), DirectoryTick{});
  CHECK(directory.Usable(kService).size() == 4);
}

TEST_CASE("the removal of a draining upstream takes effect at once, also during a store outage") {
  UpstreamDirectory directory = SixteenUpstreams();
  UpstreamEntry leaving = Entry(3);
  leaving.leaving = true;
  directory.Step(At(10), EntriesChanged{{{Id(3), leaving}}});
  directory.Step(At(1000), StoreLost{});
  directory.Step(At(1500), Removed(3, 4));
  CHECK(directory.Usable(kService).size() == 15);
  CHECK_FALSE(directory.Find(Id(3)));
}

TEST_CASE("a restart under the same id is reported as such") {
  UpstreamDirectory directory = SixteenUpstreams();
  const auto actions = directory.Step(At(10), EntriesChanged{{{Id(5), Entry(5, 2)}}});
  REQUIRE(actions.size() == 1);
  CHECK(std::get<UpstreamJoined>(actions.front()).restarted);
}

// The cases below guard against entries of a restored store (issue 27, CONFIG): they may be older
// than what is known, and others may be missing.
TEST_CASE("an entry of a restored store does not replace a newer one") {
  UpstreamDirectory directory = SixteenUpstreams();
  UpstreamEntry leaving = Entry(0);
  leaving.leaving = true;
  leaving.sequence = 7;
  directory.Step(At(10), EntriesChanged{{{Id(0), leaving}}});
  EntriesChanged restored = Added(0, 16);
  restored.restored = true;
  const auto actions = directory.Step(At(5'000), restored);
  REQUIRE(actions.size() == 1);
  CHECK(std::get<OldEntryIgnored>(actions.front()).id == Id(0));
  CHECK(directory.Usable(kService).size() == 15);
  // What the upstream writes again counts, whatever it says.
  UpstreamEntry again = Entry(0);
  again.sequence = 8;
  directory.Step(At(5'500), EntriesChanged{{{Id(0), again}}});
  CHECK(directory.Usable(kService).size() == 16);
}

TEST_CASE("a restored store does not bring back an upstream that has left") {
  UpstreamDirectory directory = SixteenUpstreams();
  directory.Step(At(10), Removed(3, 4));
  EntriesChanged restored = Added(0, 16);
  restored.restored = true;
  directory.Step(At(5'000), restored);
  CHECK(directory.Usable(kService).size() == 15);
  // Unless it has started again.
  restored.changes = {{Id(3), Entry(3, 2)}};
  directory.Step(At(5'010), restored);
  CHECK(directory.Usable(kService).size() == 16);
}

TEST_CASE("upstreams that a restored store lacks stay usable until re-registration is due") {
  UpstreamDirectory directory = SixteenUpstreams();
  EntriesChanged restored = Removed(4, 5);
  restored.restored = true;
  directory.Step(At(5'000), restored);
  CHECK(directory.Usable(kService).size() == 16);
  directory.Step(At(7'100), DirectoryTick{});
  CHECK(directory.Usable(kService).size() == 15);
}

TEST_CASE("an upstream that left long ago is not remembered") {
  UpstreamDirectory directory = SixteenUpstreams();
  directory.Step(At(10), Removed(3, 4));
  directory.Step(At(100'000), Removed(4, 5));
  EntriesChanged restored = Added(3, 4);
  restored.restored = true;
  directory.Step(At(100'010), restored);
  CHECK(directory.Find(Id(3)));
}

// Guards against DRAIN: an upstream that says in an answer that it leaves, while its entry does
// not.
TEST_CASE("an upstream that announced its leaving in an answer is unusable until it starts again") {
  UpstreamDirectory directory = SixteenUpstreams();
  const auto actions = directory.Step(At(10), LeavingAnnounced{Id(0), 1});
  REQUIRE(actions.size() == 1);
  CHECK(std::get<UpstreamLeft>(actions.front()).reason == LeaveReason::kAnnounced);
  CHECK(directory.Step(At(11), LeavingAnnounced{Id(0), 1}).empty());
  UpstreamEntry again = Entry(0);
  again.sequence = 3;
  directory.Step(At(20), EntriesChanged{{{Id(0), again}}});
  CHECK(directory.Usable(kService).size() == 15);
  directory.Step(At(30), EntriesChanged{{{Id(0), Entry(0, 2)}}});
  CHECK(directory.Usable(kService).size() == 16);
  // A late answer of the incarnation before.
  CHECK(directory.Step(At(40), LeavingAnnounced{Id(0), 1}).empty());
  CHECK(directory.Usable(kService).size() == 16);
}

// The cases below guard against a cold upstream that gets its full load too early, because its
// entry is old or was read twice.
TEST_CASE("the end of the cold time follows the newest entry on the clock of this process") {
  UpstreamDirectory directory({});
  UpstreamEntry cold = Entry(0);
  cold.remaining_warm_up = milliseconds(4'000);
  directory.Step(At(1'000), EntriesChanged{{{Id(0), cold}}});
  REQUIRE(directory.Find(Id(0)));
  CHECK(directory.Find(Id(0))->cold_until == At(5'000));
  cold.sequence = 1;
  cold.remaining_warm_up = milliseconds(9'000);
  directory.Step(At(2'000), EntriesChanged{{{Id(0), cold}}});
  CHECK(directory.Find(Id(0))->cold_until == At(11'000));
  cold.sequence = 2;
  cold.remaining_warm_up = {};
  directory.Step(At(3'000), EntriesChanged{{{Id(0), cold}}});
  CHECK_FALSE(directory.Find(Id(0))->cold_until);
}

TEST_CASE("an entry of a restored store only lengthens the cold time") {
  UpstreamDirectory directory({});
  UpstreamEntry cold = Entry(0);
  cold.remaining_warm_up = milliseconds(4'000);
  directory.Step(At(1'000), EntriesChanged{{{Id(0), cold}}});
  UpstreamEntry warm = cold;
  warm.remaining_warm_up = {};
  directory.Step(At(2'000), EntriesChanged{{{Id(0), warm}}, true});
  CHECK(directory.Find(Id(0))->cold_until == At(5'000));
  directory.Step(At(3'000), EntriesChanged{{{Id(0), cold}}, true});
  CHECK(directory.Find(Id(0))->cold_until == At(7'000));
  // A restarted upstream is as cold as its entry says.
  UpstreamEntry restarted = Entry(0, 2);
  directory.Step(At(3'500), EntriesChanged{{{Id(0), restarted}}, true});
  CHECK_FALSE(directory.Find(Id(0))->cold_until);
}

// The cases below guard against requests to a data centre that the operator has evacuated (EVAC).
namespace {

const core::DataCentreId kEast("east");
const core::DataCentreId kWest("west");

/// Upstreams 0 to 7 are in one data centre, 8 to 15 in the other.
EntriesChanged TwoDataCentres() {
  EntriesChanged event = Added(0, 16);
  for (int n = 0; n < 16; ++n) event.changes[n].entry->data_centre = n < 8 ? kEast : kWest;
  return event;
}

UpstreamDirectory DirectoryOfTwoDataCentres() {
  UpstreamDirectory directory({});
  directory.Step(At(0), TwoDataCentres());
  return directory;
}

template <typename Action>
std::size_t Count(const std::vector<DirectoryAction>& actions) {
  std::size_t count = 0;
  for (const DirectoryAction& action : actions) count += std::holds_alternative<Action>(action);
  return count;
}

}  // namespace

TEST_CASE("upstreams of an evacuated data centre are unusable until the order is removed") {
  UpstreamDirectory directory = DirectoryOfTwoDataCentres();
  const std::uint64_t before = directory.version();
  const auto ordered = directory.Step(At(10), EvacuationChanged{kEast, true});
  CHECK(Count<DataCentreEvacuated>(ordered) == 1);
  CHECK(directory.version() != before);
  CHECK(directory.Usable(kService).size() == 8);
  CHECK_FALSE(directory.FindUsable(Id(0)));
  CHECK(directory.FindUsable(Id(8)));
  CHECK(directory.Find(Id(0)));
  // A repeated order changes and logs nothing.
  CHECK(directory.Step(At(20), EvacuationChanged{kEast, true}).empty());
  const std::uint64_t evacuated = directory.version();
  const auto removed = directory.Step(At(30), EvacuationChanged{kEast, false});
  CHECK(Count<DataCentreRestored>(removed) == 1);
  CHECK(directory.version() != evacuated);
  CHECK(directory.Usable(kService).size() == 16);
}

TEST_CASE("an upstream that starts in an evacuated data centre is unusable") {
  UpstreamDirectory directory = DirectoryOfTwoDataCentres();
  directory.Step(At(10), EvacuationChanged{kEast, true});
  UpstreamEntry restarted = Entry(0, 2);
  restarted.data_centre = kEast;
  directory.Step(At(20), EntriesChanged{{{Id(0), restarted}}});
  CHECK_FALSE(directory.FindUsable(Id(0)));
  CHECK(directory.Usable(kService).size() == 8);
}

TEST_CASE("two orders hold independently of each other") {
  UpstreamDirectory directory = DirectoryOfTwoDataCentres();
  directory.Step(At(10), EvacuationChanged{kEast, true});
  directory.Step(At(20), EvacuationChanged{kWest, true});
  CHECK(directory.Usable(kService).empty());
  directory.Step(At(30), EvacuationChanged{kEast, false});
  CHECK(directory.FindUsable(Id(0)));
  CHECK_FALSE(directory.FindUsable(Id(8)));
}

TEST_CASE("an order for an unknown data centre is reported once and waits for an upstream there") {
  UpstreamDirectory directory = SixteenUpstreams();
  const auto first = directory.Step(At(10), EvacuationChanged{kEast, true});
  CHECK(Count<EvacuationPending>(first) == 1);
  CHECK(directory.Step(At(20), EvacuationChanged{kEast, true}).empty());
  CHECK(directory.Usable(kService).size() == 16);
  UpstreamEntry entry = Entry(0);
  entry.data_centre = kEast;
  const auto appeared = directory.Step(At(30), EntriesChanged{{{Id(0), entry}}});
  CHECK(Count<DataCentreEvacuated>(appeared) == 1);
  CHECK(directory.Usable(kService).size() == 15);
}

TEST_CASE("an order that a restored store lacks stays in force for the time of re-registration") {
  UpstreamDirectory directory = DirectoryOfTwoDataCentres();
  directory.Step(At(10), EvacuationChanged{kEast, true});
  const auto deferred = directory.Step(At(5'000), EvacuationChanged{kEast, false, true});
  CHECK(Count<EvacuationEndDeferred>(deferred) == 1);
  REQUIRE(directory.NextWake() == At(7'000));
  directory.Step(At(6'999), DirectoryTick{});
  CHECK(directory.Usable(kService).size() == 8);
  const auto ended = directory.Step(At(7'000), DirectoryTick{});
  CHECK(Count<DataCentreRestored>(ended) == 1);
  CHECK(directory.Usable(kService).size() == 16);
}

TEST_CASE("an order that is written again after a restore stays in force") {
  UpstreamDirectory directory = DirectoryOfTwoDataCentres();
  directory.Step(At(10), EvacuationChanged{kEast, true});
  directory.Step(At(5'000), EvacuationChanged{kEast, false, true});
  directory.Step(At(6'000), EvacuationChanged{kEast, true});
  CHECK_FALSE(directory.NextWake());
  directory.Step(At(9'000), DirectoryTick{});
  CHECK(directory.Usable(kService).size() == 8);
}

// The store may be lost again before the order can be written once more.
TEST_CASE("an order does not end during a store outage after a restore") {
  UpstreamDirectory directory = DirectoryOfTwoDataCentres();
  directory.Step(At(10), EvacuationChanged{kEast, true});
  directory.Step(At(5'000), EvacuationChanged{kEast, false, true});
  directory.Step(At(5'500), StoreLost{});
  directory.Step(At(9'000), DirectoryTick{});
  CHECK(directory.Usable(kService).size() == 8);
  directory.Step(At(10'000), StoreRegained{});
  directory.Step(At(11'999), DirectoryTick{});
  CHECK(directory.Usable(kService).size() == 8);
  directory.Step(At(12'000), DirectoryTick{});
  CHECK(directory.Usable(kService).size() == 16);
}

TEST_CASE("a withdrawn order that a restored store holds is in force until it is removed") {
  UpstreamDirectory directory = DirectoryOfTwoDataCentres();
  directory.Step(At(10), EvacuationChanged{kEast, true});
  directory.Step(At(20), EvacuationChanged{kEast, false});
  directory.Step(At(5'000), EvacuationChanged{kEast, true, true});
  directory.Step(At(9'000), DirectoryTick{});
  CHECK(directory.Usable(kService).size() == 8);
  directory.Step(At(9'500), EvacuationChanged{kEast, false});
  CHECK(directory.Usable(kService).size() == 16);
}

}  // namespace cornelrelay::directory
