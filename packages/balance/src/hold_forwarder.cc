#include "cornelrelay/balance/hold_forwarder.h"

namespace cornelrelay::balance {

RankIndex ChooseHoldForwarder(RankIndex anchor, RankIndex leader, RankIndex ranks) {
  for (RankIndex step = 1; step < ranks; ++step) {
    const RankIndex forwarder = (anchor + step) % ranks;
    if (forwarder != leader) return forwarder;
  }
  return anchor;
}

}  // namespace cornelrelay::balance
