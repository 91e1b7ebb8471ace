#pragma once

#include "cornelrelay/balance/switch_messages.h"

namespace cornelrelay::balance {

/// \brief Returns the rank whose host forwards the order to hold a pass at `hold_rank`.
///
/// It is neither the leader's, which may stop just after the order, nor that of `hold_rank`, which
/// must release the pass. Returns `hold_rank` if no such rank exists, as in a group of two whose
/// leader is at the other rank.
RankIndex ChooseHoldForwarder(RankIndex hold_rank, RankIndex leader, RankIndex ranks);

}  // namespace cornelrelay::balance
