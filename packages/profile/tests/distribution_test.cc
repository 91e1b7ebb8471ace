#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include "cornelrelay/profile/confirmation_tracker.h"
#include "cornelrelay/profile/dump.h"
#include "generators.h"
#include "simulation.h"

namespace cornelrelay::profile {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using testing::MakeProfile;
using testing::MakeRequest;
using testing::Numbered;
using testing::Simulation;

ChangeRequest Change(std::uint32_t queue) {
  return MakeRequest(Numbered("c", queue), ChangeProfile{MakeProfile("default", queue)});
}

/// \brief Runs until the edit ends and gives its outcome.
EditOutcome Edit1(Simulation& sim, std::size_t process, const ChangeRequest& request) {
  const auto before = sim.Outcomes().size();
  sim.StartEdit(process, request);
  while (sim.Outcomes().size() == before) sim.Run(milliseconds(10));
  return sim.Outcomes().back().second;
}

// Guards against a change that needs gossip or a watcher to arrive in time.
TEST_CASE("reads of the store alone bring a change everywhere within 16 s") {
  Simulation sim(20, 1, {});
  sim.SetGossip(false);
  for (std::uint32_t i = 1; i <= 20; ++i) {
    sim.Run(milliseconds(3700));
    REQUIRE(RevisionOrThrow(Edit1(sim, i % sim.size(), Change(i))) == i);
    sim.Run(seconds(16));
    REQUIRE(sim.AllAtNewest());
  }
}

// Guards against a change that stays with its writer when the store fails right after it.
TEST_CASE("peers pass a change on during an outage, also to a process that starts then") {
  Simulation sim(6, 2, {});
  sim.SetWatching(0, true);
  sim.Run(seconds(5));
  REQUIRE(RevisionOrThrow(Edit1(sim, 3, Change(1))) == 1);
  sim.Run(milliseconds(100));  // the watch has delivered the change to process 0
  sim.SetOutage(true);
  REQUIRE_FALSE(sim.AllAtNewest());
  sim.Run(seconds(16));
  CHECK(sim.AllAtNewest());
  sim.Restart(5);
  CHECK_FALSE(sim.RevisionAt(5));
  sim.Run(seconds(5));
  CHECK(sim.AllAtNewest());
}

// Guards against every process reading the store although watchers confirm the revision.
TEST_CASE("confirmations by watchers keep the other processes from reading the store") {
  Simulation quiet(40, 3, {});
  quiet.SetWatching(0, true);
  quiet.SetWatching(1, true);
  quiet.Run(seconds(30));
  const auto before = quiet.StoreCalls();
  quiet.Run(seconds(60));
  // Two watchers read every 3 s to 5 s; 40 processes on their own would make 200 to 300 calls.
  CHECK(quiet.StoreCalls() - before <= 50);
}

// Guards against an operator who sees neither the own change nor the one that came first.
TEST_CASE("of two operators one wins and the other gets both changes") {
  Simulation sim(2, 4, {});
  sim.Run(seconds(1));
  auto first = Change(1);
  auto second = Change(2);
  first.seen = second.seen = 0;
  second.author = OperatorName("rui");
  CHECK(RevisionOrThrow(Edit1(sim, 0, first)) == 1);
  const auto outcome = Edit1(sim, 1, second);
  REQUIRE(std::holds_alternative<CatalogueConflict>(outcome));
  const auto& conflict = std::get<CatalogueConflict>(outcome);
  CHECK(conflict.mine() == second);
  REQUIRE(conflict.winners().size() == 1);
  CHECK(conflict.winners()[0].id == first.id);
  CHECK(std::string(conflict.what()).find("account.queue: 200 -> 1") != std::string::npos);
  CHECK_THROWS_AS(RevisionOrThrow(outcome), CatalogueConflict);
}

// Guards against a false report when the change id may have left the list of ids.
TEST_CASE("a write that cannot be settled ends as outcome unknown") {
  Catalogue newer = Catalogue::Initial();
  for (std::uint32_t i = 1; i <= 257; ++i) newer = ApplyChange(newer, Change(i));
  const auto settle = [](const std::optional<KeyContent>& seen) {
    CatalogueEditor editor(MakeRequest("mine", ChangeProfile{MakeProfile("default", 9)}), {});
    editor.Step({}, EditorTick{});
    editor.Step({}, CatalogueKeyRead{1, std::nullopt});
    editor.Step({}, StoreCallFailed{2, true, {}});
    editor.Step(core::Instant(seconds(1)), EditorTick{});
    const auto actions = editor.Step(core::Instant(seconds(1)), CatalogueKeyRead{3, seen});
    REQUIRE(actions.size() == 1);
    return std::get<EditFinished>(actions[0]).outcome;
  };
  const auto bytes = EncodeCatalogue(newer);
  CHECK(std::holds_alternative<OutcomeUnknown>(settle(KeyContent{bytes, 300})));
  CHECK(std::holds_alternative<OutcomeUnknown>(settle(KeyContent{"damaged", 300})));
  const auto near = EncodeCatalogue(ApplyChange(Catalogue::Initial(), Change(1)));
  CHECK(std::holds_alternative<CatalogueConflict>(settle(KeyContent{near, 300})));
}

// Guards against "not made" for a write that is still on its way when the operator's time is over.
TEST_CASE("the time limit ends an edit as unknown only when a write was sent") {
  const core::Instant late(seconds(12));
  const auto outcome = [&](bool written) {
    CatalogueEditor editor(Change(1), {});
    editor.Step({}, EditorTick{});
    if (written) editor.Step({}, CatalogueKeyRead{1, std::nullopt});
    REQUIRE(editor.NextWake() == late);
    return std::get<EditFinished>(editor.Step(late, EditorTick{}).at(0)).outcome;
  };
  CHECK(std::holds_alternative<OutcomeUnknown>(outcome(true)));
  CHECK(std::holds_alternative<StoreUnavailable>(outcome(false)));
}

// Guards against damaged bytes replacing a good catalogue.
TEST_CASE("a replica reports damaged bytes and keeps its catalogue") {
  CatalogueReplica replica({}, 1);
  replica.Step({}, ReplicaTick{});
  CHECK(replica.catalogue() == nullptr);
  const auto good = EncodeCatalogue(ApplyChange(Catalogue::Initial(), Change(1)));
  replica.Step({}, CatalogueKeyRead{1, KeyContent{good, 1}});
  REQUIRE(replica.revision() == CatalogueRevision{1});
  replica.Step(core::Instant(seconds(13)), ReplicaTick{});
  const auto actions =
      replica.Step(core::Instant(seconds(13)), CatalogueKeyRead{2, KeyContent{"{}", 2}});
  REQUIRE(actions.size() == 1);
  CHECK(std::holds_alternative<ReportMalformed>(actions[0]));
  CHECK(replica.revision() == CatalogueRevision{1});
}

// Guards against a confirmation of another revision putting off the read that would find the
// change.
TEST_CASE("only a confirmation of the applied revision puts off the next read") {
  CatalogueReplica replica({}, 1);
  replica.Step({}, ReplicaTick{});
  const auto bytes = EncodeCatalogue(ApplyChange(Catalogue::Initial(), Change(1)));
  replica.Step({}, CatalogueKeyRead{1, KeyContent{bytes, 1}});
  const auto planned = replica.NextRead();
  CHECK(planned <= core::Instant(seconds(12)));
  const core::Instant later(seconds(7));
  replica.Step(later, ConfirmationHeard{2});
  CHECK(replica.NextRead() == planned);
  replica.Step(later, ConfirmationHeard{1});
  CHECK(replica.NextRead() >= later + seconds(5));
  const auto dump = ToJson(replica);
  CHECK(dump["catalogue"]["revision"] == 1);
  CHECK(dump["catalogue"]["last_change"]["operator"] == "ana");
}

// Guards against `--wait` ending while a live member lacks the change.
TEST_CASE("the tracker names the live members that have not confirmed") {
  const core::HostId a("a");
  const core::HostId b("b");
  ConfirmationTracker tracker;
  tracker.SetLive({a, b});
  tracker.Record(a, 5);
  tracker.Record(core::HostId("gone"), 1);
  CHECK(tracker.Unconfirmed(5) == std::vector{b});
  CHECK_FALSE(tracker.Lowest());
  tracker.Record(b, 5);
  CHECK(tracker.Unconfirmed(5).empty());
  tracker.Record(b, 4);  // restarted with an older catalogue
  CHECK(tracker.Unconfirmed(5) == std::vector{b});
  tracker.SetLive({a});
  CHECK(tracker.Lowest() == CatalogueRevision{5});
}

}  // namespace
}  // namespace cornelrelay::profile
