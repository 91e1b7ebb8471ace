#include "cornelrelay/ranks/candidacy.h"

#include <catch2/catch.hpp>
#include <set>

namespace cornelrelay::ranks {
namespace {

core::Instant At(std::int64_t ms) { return core::Instant(std::chrono::milliseconds(ms)); }

Candidacy OfRank(balance::RankIndex rank, balance::RankIndex ranks) {
  CandidacyConfig config;
  config.rank = rank;
  config.ranks = ranks;
  return {config, At(0)};
}

}  // namespace

// Load pattern: a group of 192 ranks whose leader changes. Each agent that follows the leader key
// pays for calls then.
TEST_CASE("a few agents spread over a group are candidates, with waits that differ") {
  for (const balance::RankIndex ranks : {1U, 4U, 12U, 72U, 192U}) {
    std::set<balance::RankIndex> standbys;
    std::set<core::Duration> waits;
    for (balance::RankIndex rank = 0; rank < ranks; ++rank) {
      const Candidacy candidacy = OfRank(rank, ranks);
      if (!candidacy.candidate()) continue;
      standbys.insert(rank);
      waits.insert(candidacy.Stagger());
    }
    CAPTURE(ranks);
    CHECK(standbys.size() >= std::min(ranks, 5U));
    CHECK(standbys.size() <= 7);
    CHECK(waits.size() == standbys.size());
    CHECK(*standbys.rbegin() >= ranks - 1 - ranks / 4);
    CHECK(*waits.rbegin() < CandidacyConfig{}.other_stagger);
  }
}

TEST_CASE("an agent that hears no leader becomes a candidate until it hears one again") {
  Candidacy candidacy = OfRank(7, 192);
  CHECK_FALSE(candidacy.candidate());
  CHECK_FALSE(candidacy.OnLeaderCall(At(3'000)));
  CHECK_FALSE(candidacy.OnTick(At(7'000)));
  CHECK(candidacy.NextWake() == At(7'140));
  CHECK(candidacy.OnTick(At(7'140)));
  CHECK(candidacy.candidate());
  CHECK_FALSE(candidacy.NextWake());
  CHECK_FALSE(candidacy.OnTick(At(20'000)));
  CHECK(candidacy.OnLeaderCall(At(20'100)));
  CHECK_FALSE(candidacy.candidate());
}

TEST_CASE("a standby stays a candidate") {
  Candidacy candidacy = OfRank(0, 192);
  CHECK(candidacy.candidate());
  CHECK_FALSE(candidacy.OnLeaderCall(At(1)));
  CHECK(candidacy.candidate());
}

}  // namespace cornelrelay::ranks
