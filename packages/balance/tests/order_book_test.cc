#include "cornelrelay/balance/order_book.h"

#include <catch2/catch.hpp>

namespace cornelrelay::balance {
namespace {

using std::chrono::milliseconds;

const core::Instant kStart = core::Instant{} + std::chrono::hours(1);

}  // namespace

TEST_CASE("an order waits for the answer to the one before, up to the timeout") {
  OrderBook orders(2, {});
  OrderBook::Actions out;
  orders.BeginPhase();
  orders.Send(kStart, 1, HoldPass{7}, out);
  orders.Send(kStart + milliseconds(149), 1, HoldPass{7}, out);
  CHECK(out.size() == 1);
  orders.Send(kStart + milliseconds(150), 1, HoldPass{7}, out);
  CHECK(out.size() == 2);
  orders.Ended(1, OrderResult::kDone);
  CHECK(orders.Accepted<HoldPass>(1));
  CHECK_FALSE(orders.Accepted<HoldPass>(0));
  orders.Poll(kStart + milliseconds(179), 1, out);
  CHECK(out.size() == 2);
  orders.PollAtOnce(kStart + milliseconds(179), 1, out);
  CHECK(out.size() == 3);
}

TEST_CASE("a phase knows nothing of the results of the one before") {
  OrderBook orders(1, {});
  OrderBook::Actions out;
  orders.BeginPhase();
  orders.Send(kStart, 0, ArmMap{3, 9}, out);
  orders.BeginPhase();
  orders.Ended(0, OrderResult::kRefused);
  CHECK_FALSE(orders.Refused(0));
  orders.Send(kStart, 0, DisarmMap{3}, out);
  CHECK(out.size() == 2);
  orders.Ended(0, OrderResult::kUnknown);
  CHECK(orders.Unanswered(0));
  orders.BeginPhase();
  CHECK_FALSE(orders.Unanswered(0));
}

TEST_CASE("orders carry the fence and the epoch") {
  OrderBook orders(1, {});
  OrderBook::Actions out;
  orders.SetFence(41);
  orders.SetEpoch(5);
  orders.BeginPhase();
  orders.Send(kStart, 0, HoldPass{7}, out, RankIndex{2});
  REQUIRE(out.size() == 1);
  const auto& order = std::get<SendOrder>(out.front());
  CHECK(order.fence == 41);
  CHECK(order.epoch == 5);
  CHECK(order.giver == RankIndex{2});
}

}  // namespace cornelrelay::balance
