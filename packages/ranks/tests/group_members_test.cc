#include "cornelrelay/ranks/group_members.h"

#include <catch2/catch.hpp>

namespace cornelrelay::ranks {
namespace {

const core::Endpoint kFirst{"10.0.0.1", 1};
const core::Endpoint kSecond{"10.0.0.2", 1};

GroupMembers MakeTwoMembers() {
  GroupMembers members;
  members.Add(kFirst, {"10.0.0.1", 9});
  members.Add(kSecond, {"10.0.0.2", 9});
  return members;
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
  members.Add(kFirst, {"10.0.0.1", 9});
  CHECK(members.At(kFirst).rank);
  CHECK(members.Engines().size() == 2);
  CHECK(members.NextToPoll(5).size() == 2);
  CHECK(members.BeginPoll(kFirst));
  CHECK_FALSE(members.BeginPoll(kFirst));
  CHECK(members.BeginPoll(kSecond));
  members.EndPoll(kFirst);
  CHECK(members.BeginPoll(kFirst));
}

}  // namespace cornelrelay::ranks
