#include "cornelrelay/ranks/group_members.h"

#include <catch2/catch.hpp>

namespace cornelrelay::ranks {
namespace {

const core::Endpoint kFirst{"10.0.0.1", 1};
const core::Endpoint kSecond{"10.0.0.2", 1};

GroupMembers Two() {
  GroupMembers members;
  members.Add(kFirst, {"10.0.0.1", 9});
  members.Add(kSecond, {"10.0.0.2", 9});
  return members;
}

}  // namespace

TEST_CASE("a group is complete when every engine has told its rank") {
  GroupMembers members = Two();
  members.SetRank(kFirst, 0);
  CHECK_FALSE(members.Complete(2));
  members.SetRank(kSecond, 1);
  CHECK(members.Complete(2));
  CHECK_FALSE(members.Complete(3));
}

TEST_CASE("a rank that moves to another engine leaves the former one") {
  GroupMembers members = Two();
  members.SetRank(kFirst, 0);
  members.SetRank(kSecond, 0);
  REQUIRE(members.OfRank(0));
  CHECK(members.OfRank(0)->engine == kSecond);
  CHECK_FALSE(members.At(kFirst).rank);
  CHECK(members.OfRank(1) == nullptr);
}

TEST_CASE("an engine is polled once at a time, and is known once") {
  GroupMembers members = Two();
  members.SetRank(kFirst, 0);
  members.Add(kFirst, {"10.0.0.1", 9});
  CHECK(members.At(kFirst).rank);
  CHECK(members.All().size() == 2);
  CHECK(members.Next(5).size() == 2);
  CHECK(members.BeginPoll(kFirst));
  CHECK_FALSE(members.BeginPoll(kFirst));
  CHECK(members.BeginPoll(kSecond));
  members.EndPoll(kFirst);
  CHECK(members.BeginPoll(kFirst));
}

}  // namespace cornelrelay::ranks
