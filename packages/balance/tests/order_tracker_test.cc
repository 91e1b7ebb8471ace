#include "cornelrelay/balance/order_tracker.h"

#include <catch2/catch.hpp>

namespace cornelrelay::balance {
namespace {

using std::chrono::milliseconds;

const core::Instant kStart = core::Instant{} + std::chrono::hours(1);

}  // namespace

TEST_CASE("an order waits for the answer to the previous one, up to the timeout") {
  OrderTracker orders(2, {});
  OrderTracker::Actions out;
  orders.BeginPhase();
  orders.Send(kStart, 1, HoldPass{7}, out);
  orders.Send(kStart + milliseconds(149), 1, HoldPass{7}, out);
  CHECK(out.size() == 1);
  orders.Send(kStart + milliseconds(150), 1, HoldPass{7}, out);
  CHECK(out.size() == 2);
  orders.RecordResult(1, OrderResult::kDone);
  CHECK(orders.Accepted<HoldPass>(1));
  CHECK_FALSE(orders.Accepted<HoldPass>(0));
  orders.Poll(kStart + milliseconds(179), 1, out);
  CHECK(out.size() == 2);
  orders.PollWithoutDelay(kStart + milliseconds(179), 1, out);
  CHECK(out.size() == 3);
}

// Guards against a late answer to an order of an earlier phase that counts for the current one.
TEST_CASE("a phase does not see the results of the previous one") {
  OrderTracker orders(1, {});
  OrderTracker::Actions out;
  orders.BeginPhase();
  orders.Send(kStart, 0, ArmMap{3, 9}, out);
  orders.BeginPhase();
  orders.RecordResult(0, OrderResult::kRefused);
  CHECK_FALSE(orders.Refused(0));
  orders.Send(kStart, 0, DisarmMap{3}, out);
  CHECK(out.size() == 2);
  orders.RecordResult(0, OrderResult::kUnknown);
  CHECK(orders.Unanswered(0));
  orders.BeginPhase();
  CHECK_FALSE(orders.Unanswered(0));
}

// Guards against a leader that fills its link and memory with maps. Load pattern: a shift of the
// demand in a group of many ranks.
TEST_CASE("a map is sent to a limited number of ranks at a time, other orders to all") {
  OrderTracker orders(72, {.max_concurrent_maps = 12});
  OrderTracker::Actions out;
  orders.BeginPhase();
  const auto send_all = [&](const RankOrder& order, core::Instant now) {
    out.clear();
    for (RankIndex rank = 0; rank < 72; ++rank) orders.Send(now, rank, order, out);
    return out.size();
  };
  const PrepareMap prepare{4, SharedLayerMap({{{0, 1}, {2, 3}}})};
  CHECK(send_all(prepare, kStart) == 12);
  CHECK(send_all(prepare, kStart) == 0);
  orders.RecordResult(3, OrderResult::kDone);
  orders.RecordResult(5, OrderResult::kUnknown);
  CHECK(send_all(prepare, kStart) == 2);
  // Orders that have timed out no longer count, so that a lost answer does not block the next maps.
  CHECK(send_all(prepare, kStart + std::chrono::seconds(1)) == 12);
  orders.BeginPhase();
  CHECK(send_all(ArmMap{4, 9}, kStart + std::chrono::seconds(1)) == 72);
}

TEST_CASE("orders carry the fence and the epoch") {
  OrderTracker orders(1, {});
  OrderTracker::Actions out;
  orders.SetFence(41);
  orders.SetEpoch(5);
  orders.BeginPhase();
  orders.Send(kStart, 0, HoldPass{7}, out, RankIndex{2});
  REQUIRE(out.size() == 1);
  const auto& order = std::get<SendOrder>(out.front());
  CHECK(order.fence == 41);
  CHECK(order.epoch == 5);
  CHECK(order.forwarder == RankIndex{2});
}

}  // namespace cornelrelay::balance
