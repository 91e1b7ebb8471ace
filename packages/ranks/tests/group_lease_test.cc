#include "cornelrelay/ranks/group_lease.h"

#include <catch2/catch.hpp>

namespace cornelrelay::ranks {
namespace {

using std::chrono::milliseconds;

core::Instant At(std::int64_t ms) { return core::Instant(milliseconds(ms)); }

template <class Action>
const Action* Find(const std::vector<LeaseAction>& actions) {
  for (const auto& action : actions) {
    if (const auto* found = std::get_if<Action>(&action)) return found;
  }
  return nullptr;
}

template <class Request>
bool Calls(const std::vector<LeaseAction>& actions) {
  const auto* call = Find<CallForLease>(actions);
  return call != nullptr && std::holds_alternative<Request>(call->request);
}

GroupLease Leading() {
  GroupLease lease({.key = "k", .value = "me"});
  CHECK(Calls<store::LeaseGrant>(lease.Step(At(0), SeatSeen{})));
  CHECK(Calls<store::CompareAndSwap>(
      lease.Step(At(10), LeaseReply{store::LeaseGranted{5, milliseconds(1500)}})));
  const auto taken = lease.Step(At(20), LeaseReply{store::Swapped{77}});
  REQUIRE(Find<SeatTaken>(taken));
  CHECK(Find<SeatTaken>(taken)->fence == 77);
  return lease;
}

}  // namespace

TEST_CASE("a taken seat is left alone") {
  GroupLease lease({.key = "k", .value = "me"});
  CHECK(lease.Step(At(0), SeatSeen{store::StoredValue{"other", 3}}).empty());
  CHECK(lease.Step(At(5000), LeaseTick{}).empty());
  CHECK(Calls<store::LeaseGrant>(lease.Step(At(6000), SeatSeen{})));
}

TEST_CASE("the lease counts from the call, so a suspended leader knows that it is over") {
  GroupLease lease = Leading();
  CHECK(lease.holds(At(1400)));
  CHECK_FALSE(lease.holds(At(1500)));
  CHECK(Find<SeatUnsure>(lease.Step(At(4000), LeaseTick{})));
}

TEST_CASE("a leader whose lease lapsed takes the free seat again or learns of another") {
  GroupLease lease = Leading();
  lease.Step(At(500), SeatSeen{store::StoredValue{"me", 77}});
  lease.Step(At(510), LeaseReply{store::TimedOut{}});
  lease.Step(At(4000), LeaseTick{});
  GroupLease other = lease;
  CHECK(Calls<store::LeaseGrant>(lease.Step(At(4100), SeatSeen{})));
  CHECK(Find<SeatLost>(other.Step(At(4100), SeatSeen{store::StoredValue{"other", 90}})));
}

TEST_CASE("renewals extend the lease, an ended one is given up at once") {
  GroupLease lease = Leading();
  CHECK(Calls<store::LeaseKeepAlive>(lease.Step(At(500), LeaseTick{})));
  lease.Step(At(510), LeaseReply{store::LeaseGranted{5, milliseconds(1500)}});
  CHECK(lease.holds(At(1999)));
  lease.Step(At(1000), LeaseTick{});
  CHECK(Find<SeatUnsure>(lease.Step(At(1010), LeaseReply{store::LeaseExpired{5}})));
  CHECK_FALSE(lease.holds(At(1011)));
}

TEST_CASE("a renewal without an answer is repeated until the lease is over") {
  GroupLease lease = Leading();
  lease.Step(At(500), LeaseTick{});
  lease.Step(At(900), LeaseReply{store::TimedOut{}});
  CHECK(Calls<store::LeaseKeepAlive>(lease.Step(At(1000), LeaseTick{})));
}

}  // namespace cornelrelay::ranks
