#include <rapidcheck.h>

#include <catch2/catch.hpp>

#include "generators.h"
#include "simulation.h"

namespace cornelrelay::profile {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using testing::AnyEdit;
using testing::MakeProfile;
using testing::MakeRequest;
using testing::Numbered;
using testing::Simulation;

/// \brief Sends the latest change with an unknown outcome again, as its operator would.
void SendAgain(Simulation& sim, std::size_t process) {
  for (auto it = sim.Outcomes().rbegin(); it != sim.Outcomes().rend(); ++it) {
    const auto* unknown = std::get_if<OutcomeUnknown>(&it->second);
    if (unknown == nullptr) continue;
    auto request = it->first;
    request.seen = unknown->seen();
    request.sent_again = true;
    sim.StartEdit(process, request);
    return;
  }
}

void RunStep(Simulation& sim, std::uint64_t step) {
  const auto process = *rc::gen::inRange<std::size_t>(0, sim.size());
  const auto other = *rc::gen::inRange<std::size_t>(0, sim.size());
  switch (*rc::gen::inRange(0, 16)) {
    case 0:
      return sim.SetOutage(true);
    case 1:
      return sim.SetOutage(false);
    case 2:
      return sim.LoseAnswers(*rc::gen::inRange<std::uint32_t>(0, 8));
    case 3:
      // Up to 4 s each way: writes take effect long after their client has given up.
      return sim.SetStoreDelay(milliseconds(*rc::gen::element(20, 800, 4000)));
    case 4:
      return sim.Restart(process);
    case 5:
      return sim.SetWatching(process, *rc::gen::arbitrary<bool>());
    case 6:
      return sim.Cut(process, other);
    case 7:
      return sim.HealLinks();
    case 8:
    case 9:
      return SendAgain(sim, process);
    default: {
      auto request = MakeRequest(Numbered("c", step), *AnyEdit());
      if (*rc::gen::inRange(0, 3) != 0) request.seen = sim.RevisionAt(process);
      sim.StartEdit(process, request);
      if (*rc::gen::arbitrary<bool>()) {
        // A second operator changes the catalogue at the same moment.
        auto rival = MakeRequest(Numbered("r", step), *AnyEdit());
        rival.seen = request.seen;
        sim.StartEdit(other, rival);
      }
    }
  }
}

/// \brief One random history; returns the first violation of the oracle, or nothing.
std::string RunHistory(Simulation::Faults faults) {
  try {
    Simulation sim(*rc::gen::resize(100, rc::gen::inRange<std::size_t>(2, 6)),
                   *rc::gen::arbitrary<std::uint64_t>(), faults);
    const auto steps = *rc::gen::resize(100, rc::gen::inRange<std::uint64_t>(5, 100));
    for (std::uint64_t step = 0; step < steps; ++step) {
      RunStep(sim, step);
      sim.Run(milliseconds(*rc::gen::resize(100, rc::gen::inRange(0, 3000))));
    }
    sim.SetOutage(false);
    sim.LoseAnswers(0);
    sim.SetStoreDelay(milliseconds(20));
    sim.HealLinks();
    // The last edits end within 12 s; their changes must be everywhere 16 s later.
    sim.Run(seconds(13));
    const auto newest = sim.Newest();
    sim.Run(seconds(16));
    sim.CheckOutcomes();
    if (sim.Newest() != newest) return "a write took effect after all edits had ended";
    if (!sim.AllAtNewest()) return "a process lacks the newest revision";
  } catch (const std::string& violation) {
    return violation;
  }
  return "";
}

// Guards against accepted changes that are lost, made twice or reported falsely, against revisions
// that decrease, and against processes that stay behind after the faults have ended.
TEST_CASE("fuzz: changes are made once, reported truthfully and reach every process") {
  CHECK(rc::check([] { RC_ASSERT(RunHistory({}) == ""); }));
}

/// \brief The violations found in many histories of a machine with a deliberate fault.
std::map<std::string, int> ViolationsWith(Simulation::Faults faults) {
  std::map<std::string, int> found;
  rc::check([&] {
    for (int i = 0; i < 3; ++i) ++found[RunHistory(faults)];
  });
  found.erase("");
  return found;
}

// Guards against a fuzz that would not notice a replica that goes back to an older catalogue.
TEST_CASE("fuzz catches a replica that accepts a lower revision") {
  CHECK(ViolationsWith({ReplicaFault::kAcceptLowerRevision, EditorFault::kNone})
            .contains("a revision decreased"));
}

// Guards against a fuzz that would not notice a writer that takes a lost answer for a failure.
TEST_CASE("fuzz catches an editor that skips the read-back") {
  CHECK(ViolationsWith({ReplicaFault::kNone, EditorFault::kSkipReadBack})
            .contains("a change reported as not made is in the store"));
}

// Guards against a fuzz that would not notice that one operator overwrites the other's change.
TEST_CASE("fuzz catches an editor that ignores the revision in the swap") {
  const auto found = ViolationsWith({ReplicaFault::kNone, EditorFault::kIgnoreSwapRevision});
  CHECK(found.contains("a write lost an accepted change") +
            found.contains("a change was applied twice") >
        0);
}

}  // namespace
}  // namespace cornelrelay::profile
