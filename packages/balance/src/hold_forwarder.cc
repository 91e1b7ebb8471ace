#include "cornelrelay/balance/hold_forwarder.h"

namespace cornelrelay::balance {

RankIndex ChooseHoldForwarder(RankIndex hold_rank, RankIndex leader, RankIndex ranks) {
  for (RankIndex step = 1; step < ranks; ++step) {
    const RankIndex forwarder = (hold_rank + step) % ranks;
    if (forwarder != leader) return forwarder;
  }
  return hold_rank;
}

}  // namespace cornelrelay::balance
