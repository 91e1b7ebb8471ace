#include "cornelrelay/ranks/known_map.h"

#include <catch2/catch.hpp>

namespace cornelrelay::ranks {
namespace {

constexpr std::uint64_t kEpoch = 3;
constexpr balance::MapVersion kVersion = 17;
/// One set of layers on two ranks.
const balance::LayerMap kLayers = {{{0, 1}, {2, 3}}};

/// \brief The report of an agent that omits the experts of a known map.
balance::RankReport ReportOf(balance::RankIndex rank, const KnownMap& known_map) {
  balance::RankReport report;
  report.rank = rank;
  report.size = 2;
  report.state.epoch = kEpoch;
  report.state.map = kVersion;
  if (known_map.version() != kVersion) report.state.experts = {kLayers[0][rank]};
  return report;
}

void CheckExperts(const KnownMap& known_map) {
  for (balance::RankIndex rank = 0; rank < 2; ++rank) {
    const balance::RankState state = known_map.Complete(ReportOf(rank, known_map));
    CHECK(state.experts == std::vector<std::vector<std::uint16_t>>{kLayers[0][rank]});
  }
}

}  // namespace

TEST_CASE("a report is completed with the experts of the map that is known") {
  KnownMap known_map;
  CheckExperts(known_map);
  known_map.Set(kEpoch, kVersion, balance::SharedLayerMap(kLayers));
  CHECK(known_map.version() == kVersion);
  CheckExperts(known_map);
  known_map.NoteEpoch(kEpoch + 1);
  CHECK_FALSE(known_map.version());
}

TEST_CASE("the map of a switch of this leader is known, that of a failed one is not") {
  KnownMap known_map;
  balance::SwitchEnded ended;
  ended.version = kVersion;
  ended.map = balance::SharedLayerMap(kLayers);
  ended.outcome = balance::SwitchOutcome::kAborted;
  known_map.NoteSwitch(kEpoch, ended);
  CHECK_FALSE(known_map.version());
  ended.outcome = balance::SwitchOutcome::kSwitched;
  known_map.NoteSwitch(kEpoch, ended);
  CheckExperts(known_map);
}

// Guards against RECOVER of review/13: a leader that had completed the switch of an earlier one
// took its map for known, so agents omitted the experts of it for good.
TEST_CASE("after a switch of an earlier leader the experts are reported") {
  KnownMap known_map;
  known_map.Set(kEpoch, kVersion - 1, balance::SharedLayerMap(kLayers));
  balance::SwitchEnded inherited;
  inherited.version = kVersion;
  known_map.NoteSwitch(kEpoch, inherited);
  CheckExperts(known_map);
}

}  // namespace cornelrelay::ranks
