#pragma once

#include "cornelrelay/balance/switch_messages.h"

namespace cornelrelay::balance {

/// \brief Returns the rank whose agent forwards the order that holds a pass at `hold_rank`.
///
/// The result is neither `leader`, whose host may stop just after it has sent the order, nor
/// `hold_rank`, whose agent must later release the pass. Returns `hold_rank` if no such rank
/// exists, as in a group of two whose leader is at the other rank.
/// \param leader rank on the leader's host
/// \param ranks number of ranks in the group
RankIndex ChooseHoldForwarder(RankIndex hold_rank, RankIndex leader, RankIndex ranks);

}  // namespace cornelrelay::balance
