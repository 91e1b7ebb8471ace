#pragma once

#include <cstdint>

#include "cornelrelay/balance/plan_record.h"

namespace cornelrelay::balance {

using PlanCallId = std::uint64_t;
using PlanRevision = std::uint64_t;

/// \brief Action: read the group's plan, store key `cornelrelay/groups/<group>/plan`.
struct ReadPlan {
  PlanCallId call = 0;
};

/// \brief Action: write the group's plan if it is at `expected`; 0 means absent.
struct SwapPlan {
  PlanCallId call = 0;
  PlanRevision expected = 0;
  PlanRecord record;
};

/// \brief Event: the answer to ReadPlan; an absent key gives revision 0 and a default record.
struct PlanRead {
  PlanCallId call = 0;
  PlanRevision revision = 0;
  PlanRecord record;
};

/// \brief Event: the answer to SwapPlan.
struct PlanSwapped {
  PlanCallId call = 0;
  bool swapped = false;
  PlanRevision revision = 0;
};

/// \brief Event: no answer; a swap may have taken effect or may still do so.
struct PlanCallLost {
  PlanCallId call = 0;
};

}  // namespace cornelrelay::balance
