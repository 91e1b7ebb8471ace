#include "cornelrelay/balance/hold_giver.h"

namespace cornelrelay::balance {

RankIndex HoldGiver(RankIndex anchor, RankIndex leader, RankIndex ranks) {
  for (RankIndex step = 1; step < ranks; ++step) {
    const RankIndex giver = (anchor + step) % ranks;
    if (giver != leader) return giver;
  }
  return anchor;
}

}  // namespace cornelrelay::balance
