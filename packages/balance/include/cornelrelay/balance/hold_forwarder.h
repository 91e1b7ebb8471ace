#pragma once

#include "cornelrelay/balance/switch_messages.h"

namespace cornelrelay::balance {

/// \brief The rank whose host gives the order to hold a pass: neither the leader's, which may stop
/// just after it, nor the anchor's, which must release the pass. In a group of two that leads from
/// the other rank there is none, and the anchor's gives it.
RankIndex ChooseHoldForwarder(RankIndex anchor, RankIndex leader, RankIndex ranks);

}  // namespace cornelrelay::balance
