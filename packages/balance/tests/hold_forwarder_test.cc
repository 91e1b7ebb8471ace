#include "cornelrelay/balance/hold_forwarder.h"

#include <catch2/catch.hpp>

namespace cornelrelay::balance {

TEST_CASE("a hold is given by a third host where there is one") {
  for (RankIndex ranks = 3; ranks <= 5; ++ranks) {
    for (RankIndex anchor = 0; anchor < ranks; ++anchor) {
      for (RankIndex leader = 0; leader < ranks; ++leader) {
        const RankIndex forwarder = ChooseHoldForwarder(anchor, leader, ranks);
        CHECK(forwarder < ranks);
        CHECK(forwarder != anchor);
        CHECK(forwarder != leader);
      }
    }
  }
  CHECK(ChooseHoldForwarder(0, 0, 2) == 1);
  CHECK(ChooseHoldForwarder(0, 1, 2) == 0);
  CHECK(ChooseHoldForwarder(0, 0, 1) == 0);
}

}  // namespace cornelrelay::balance
