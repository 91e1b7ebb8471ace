#include "cornelrelay/ranks/group_members.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "cornelrelay/ranks/group_reply.h"
#include "cornelrelay/ranks/map_cache.h"
#include "cornelrelay/ranks/order_outbox.h"

namespace cornelrelay::ranks {
namespace {

const core::Endpoint kFirst{"10.0.0.1", 1};
const core::Endpoint kSecond{"10.0.0.2", 1};

GroupMember MemberAt(const core::Endpoint& engine, const std::string& data_centre = "a") {
  GroupMember member;
  member.engine = engine;
  member.agent = {engine.address, 9};
  member.data_centre = core::DataCentreId(data_centre);
  return member;
}

GroupMembers MakeTwoMembers() {
  GroupMembers members;
  members.Add(MemberAt(kFirst));
  members.Add(MemberAt(kSecond));
  return members;
}

/// \brief A group with as many ranks in each of the data centres, all known.
GroupMembers MakeLargeGroup(std::size_t data_centres, std::size_t ranks_each) {
  GroupMembers members;
  balance::RankIndex rank = 0;
  for (std::size_t centre = 0; centre < data_centres; ++centre) {
    for (std::size_t i = 0; i < ranks_each; ++i) {
      const core::Endpoint engine{"10." + std::to_string(centre) + ".0." + std::to_string(i), 1};
      members.Add(MemberAt(engine, std::to_string(centre)));
      members.SetRank(engine, rank++);
    }
  }
  return members;
}

std::vector<core::Endpoint> Flatten(const ForwardingGroups& groups) {
  std::vector<core::Endpoint> all;
  for (const auto& group : groups) all.insert(all.end(), group.begin(), group.end());
  std::sort(all.begin(), all.end());
  return all;
}

}  // namespace

TEST_CASE("all ranks are known when every engine has reported its rank") {
  GroupMembers members = MakeTwoMembers();
  members.SetRank(kFirst, 0);
  CHECK_FALSE(members.AllRanksKnown(2));
  members.SetRank(kSecond, 1);
  CHECK(members.AllRanksKnown(2));
  CHECK_FALSE(members.AllRanksKnown(3));
}

TEST_CASE("a rank that moves to another engine is removed from the former one") {
  GroupMembers members = MakeTwoMembers();
  members.SetRank(kFirst, 0);
  members.SetRank(kSecond, 0);
  REQUIRE(members.FindByRank(0));
  CHECK(members.FindByRank(0)->engine == kSecond);
  CHECK_FALSE(members.At(kFirst).rank);
  CHECK(members.FindByRank(1) == nullptr);
}

TEST_CASE("an engine that is added again keeps its rank, and only one poll of it runs at a time") {
  GroupMembers members = MakeTwoMembers();
  members.SetRank(kFirst, 0);
  members.Add(MemberAt(kFirst));
  CHECK(members.At(kFirst).rank);
  CHECK(members.size() == 2);
  CHECK(Flatten(members.AnsweringAgents()).size() == 2);
  CHECK(members.BeginPoll(kFirst));
  CHECK_FALSE(members.BeginPoll(kFirst));
  CHECK(members.BeginPoll(kSecond));
  members.EndPoll(kFirst);
  CHECK(members.BeginPoll(kFirst));
}

// Guards against a leader that keeps calling the ranks of the other groups of its service: its
// calls reached them in each round, and their engines counted as ranks of its own.
TEST_CASE("engines of another group get no calls until the members are read again") {
  GroupMembers members = MakeTwoMembers();
  members.SetRank(kFirst, 0);
  members.SetRank(kSecond, 1);
  members.SetAgentAnswers(kSecond, false);
  members.SetOtherGroup(kSecond);
  CHECK(members.size() == 1);
  CHECK(members.FindByRank(1) == nullptr);
  CHECK_FALSE(members.AllRanksKnown(2));
  CHECK(members.NextUnanswering(4).empty());
  CHECK(Flatten(members.AnsweringAgents()) ==
        std::vector<core::Endpoint>{members.At(kFirst).agent});
  members.Add(MemberAt(kSecond));
  CHECK(members.size() == 2);
  CHECK(members.NextUnanswering(4) == std::vector<core::Endpoint>{kSecond});
}

// Load pattern: a round of polls in groups of up to 192 ranks whose hosts have slow links. If a
// group of calls came from few data centres and the leader lost its connection to them, a shift of
// the demand would go unnoticed.
TEST_CASE("a leader calls few agents itself, and each data centre passes its calls on within it") {
  for (const auto& [centres, ranks] :
       std::vector<std::pair<std::size_t, std::size_t>>{{1, 40}, {3, 21}, {4, 18}, {5, 39}}) {
    const GroupMembers members = MakeLargeGroup(centres, ranks);
    const ForwardingGroups groups = members.AnsweringAgents();
    CAPTURE(centres, ranks);
    CHECK(groups.size() <= 5);
    const auto agents = Flatten(groups);
    CHECK(agents.size() == centres * ranks);
    CHECK(std::adjacent_find(agents.begin(), agents.end()) == agents.end());
    std::set<core::DataCentreId> covered;
    for (const auto& group : groups) {
      std::set<core::DataCentreId> of_group;
      for (const core::Endpoint& agent : group) {
        of_group.insert(members.FindByAgent(agent)->data_centre);
      }
      CHECK(of_group.size() == 1);
      covered.insert(of_group.begin(), of_group.end());
    }
    CHECK(covered.size() == centres);
  }
}

TEST_CASE("a leader calls each agent of a small group itself") {
  const ForwardingGroups groups = MakeLargeGroup(3, 4).AnsweringAgents();
  CHECK(groups.size() == 12);
}

// Load pattern: hosts freeze. Each of them would delay the answers of the agents above it.
TEST_CASE("agents that do not answer are left out of common calls and polled in turn") {
  GroupMembers members = MakeLargeGroup(5, 39);
  const core::Endpoint first{"10.0.0.0", 1}, second{"10.3.0.7", 1};
  members.SetAgentAnswers(first, false);
  members.SetAgentAnswers(second, false);
  CHECK(Flatten(members.AnsweringAgents()).size() == 193);
  CHECK_FALSE(members.AllAgentsAnswer());
  const auto one = members.NextUnanswering(1), other = members.NextUnanswering(1);
  CHECK(one != other);
  CHECK(members.NextUnanswering(12).size() == 2);
  members.SetAgentAnswers(first, true);
  members.SetAgentAnswers(second, true);
  CHECK(members.NextUnanswering(12).empty());
  CHECK(members.AllAgentsAnswer());
}

TEST_CASE("a group of agents is split into parts of nearly equal size") {
  std::vector<core::Endpoint> agents;
  for (std::uint16_t port = 1; port <= 38; ++port) agents.push_back({"10.0.0.1", port});
  const ForwardingGroups groups = SplitForForwarding(agents, 5);
  CHECK(groups.size() == 5);
  CHECK(Flatten(groups) == agents);
  for (const auto& group : groups) CHECK((group.size() == 7 || group.size() == 8));
  CHECK(SplitForForwarding({agents[0], agents[1]}, 5).size() == 2);
  CHECK(SplitForForwarding({}, 5).empty());
}

TEST_CASE("only agents that were called count as failed") {
  std::vector<core::Endpoint> agents;
  for (std::uint16_t port = 0; port < 39; ++port) agents.push_back({"10.0.0.1", port});
  std::set<core::Endpoint> answered(agents.begin(), agents.end());
  CHECK(FindFailedAgents(agents, answered).empty());
  CHECK(FindFailedAgents(agents, {}) == std::vector<core::Endpoint>{agents[0]});
  // The first of a part below the first agent: none of its part can have answered.
  const auto parts = SplitForForwarding({agents.begin() + 1, agents.end()}, kForwardingFanOut);
  for (const core::Endpoint& agent : parts[2]) answered.erase(agent);
  CHECK(FindFailedAgents(agents, answered) == std::vector<core::Endpoint>{parts[2].front()});
  answered.erase(agents.back());
  CHECK(FindFailedAgents(agents, answered).size() == 2);
  CHECK(ForwardingDepth(1) == 0);
  CHECK(ForwardingDepth(7) == 1);
  CHECK(ForwardingDepth(39) == 2);
  CHECK(ForwardingDepth(44) == 3);
}

// Load pattern: maps for a group of 192 ranks on links of 6 Mbit/s, one for each shift of the
// demand.
TEST_CASE("a map that differs from the last one in some places is sent as their difference") {
  balance::LayerMap first(10, std::vector<std::vector<std::uint16_t>>(192));
  for (auto& set : first) {
    for (std::uint16_t rank = 0; rank < 192; ++rank) {
      set[rank] = {rank, static_cast<std::uint16_t>(rank + 192)};
    }
  }
  balance::LayerMap second = first;
  for (std::size_t i = 0; i < 400; ++i) second[i % 10][(i * 7) % 192][1] = 383;
  const auto delta = balance::DiffMaps(first, second);
  REQUIRE(delta);
  MapCache cache;
  CHECK_FALSE(cache.Resolve(*delta));
  cache.Add(balance::SharedLayerMap(first));
  REQUIRE(cache.Resolve(*delta));
  CHECK(cache.Resolve(*delta)->layers() == second);
  wire::RankCall whole, difference;
  whole.order = balance::PrepareMap{1, balance::SharedLayerMap(second)};
  difference.order = balance::PrepareMap{1, {}};
  difference.map_delta = delta;
  CHECK(wire::Encode(difference).size() * 2 < wire::Encode(whole).size());
  // A damaged difference describes no map.
  balance::MapDelta damaged = *delta;
  damaged.changes.front().experts.push_back(1);
  damaged.result = 0;
  CHECK_FALSE(cache.Resolve(damaged));
  damaged.changes.front().rank = 192;
  CHECK_FALSE(balance::ApplyDelta(first, damaged));
  CHECK_FALSE(balance::DiffMaps(first, balance::LayerMap(9)));
}

TEST_CASE("an agent keeps a few maps, the latest ones") {
  MapCache cache;
  const balance::LayerMap base = {{{0}, {1}}};
  cache.Add(balance::SharedLayerMap(base));
  const balance::LayerMap next = {{{0, 1}, {1}}};
  const auto delta = balance::DiffMaps(base, next);
  REQUIRE(delta);
  for (std::uint16_t i = 2; i < 5; ++i)
    cache.Add(balance::SharedLayerMap(balance::LayerMap{{{i}, {1}}}));
  CHECK(cache.Resolve(*delta));
  cache.Add(balance::SharedLayerMap(balance::LayerMap{{{7}, {1}}}));
  const auto other = balance::DiffMaps(base, balance::LayerMap{{{0, 9}, {1}}});
  CHECK_FALSE(cache.Resolve(*other));
}

TEST_CASE("the replies of a group are merged with those that its agents collected") {
  GroupReply reply;
  wire::RankReply first;
  first.result = balance::OrderResult::kDone;
  first.expert_counts = {1, 2};
  first.forwarded = {{kSecond, balance::OrderResult::kRefused, std::nullopt}};
  reply.Add(kFirst, first);
  wire::RankReply other;
  other.expert_counts = {4'000'000'000, 1};
  reply.Add({"10.0.0.3", 1}, other);
  CHECK(reply.replies.size() == 3);
  CHECK(reply.expert_counts == std::vector<std::uint32_t>{4'000'000'001, 3});
  wire::RankReply of_another_size;
  of_another_size.expert_counts = {7};
  reply.Add({"10.0.0.4", 1}, of_another_size);
  CHECK(reply.expert_counts == std::vector<std::uint32_t>{4'000'000'001, 3});
}

TEST_CASE("equal orders for many ranks are one batch") {
  OrderOutbox outbox;
  const balance::SharedLayerMap map({{{0, 2}, {1, 0}}});
  for (balance::RankIndex rank = 0; rank < 4; ++rank) {
    outbox.Add({rank, balance::PrepareMap{7, map}, 5, 1});
  }
  outbox.Add({0, balance::ObserveRank{}, 5, 1});
  outbox.Add({1, balance::HoldPass{12}, 5, 1, 2});
  const auto batches = outbox.TakeBatches();
  REQUIRE(batches.size() == 2);
  CHECK(batches[0].ranks == std::vector<balance::RankIndex>{0, 1, 2, 3});
  CHECK(batches[1].ranks == std::vector<balance::RankIndex>{0});
  CHECK(outbox.TakeForwarded().size() == 1);
  CHECK(outbox.empty());
}

}  // namespace cornelrelay::ranks
