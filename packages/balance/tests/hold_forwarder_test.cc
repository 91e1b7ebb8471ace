#include "cornelrelay/balance/hold_forwarder.h"

#include <catch2/catch.hpp>

namespace cornelrelay::balance {

// Guards against a pass that stays held because the host that forwarded the hold stopped just after
// it. The forwarder is therefore neither the leader nor the rank at which the pass is held, since
// both are needed for the release.
TEST_CASE("an order to hold is forwarded by a third host where there is one") {
  for (RankIndex ranks = 3; ranks <= 5; ++ranks) {
    for (RankIndex hold_rank = 0; hold_rank < ranks; ++hold_rank) {
      for (RankIndex leader = 0; leader < ranks; ++leader) {
        const RankIndex forwarder = ChooseHoldForwarder(hold_rank, leader, ranks);
        CHECK(forwarder < ranks);
        CHECK(forwarder != hold_rank);
        CHECK(forwarder != leader);
      }
    }
  }
  CHECK(ChooseHoldForwarder(0, 0, 2) == 1);
  CHECK(ChooseHoldForwarder(0, 1, 2) == 0);
  CHECK(ChooseHoldForwarder(0, 0, 1) == 0);
}

}  // namespace cornelrelay::balance
