#pragma once

#include <cstdint>

#include "cornelrelay/balance/plan_record.h"

namespace cornelrelay::balance {

using PlanCallId = std::uint64_t;
using PlanRevision = std::uint64_t;

/// \brief Action: reads the group's plan, store key `cornelrelay/groups/<group>/plan`.
struct ReadPlan {
  PlanCallId call = 0;
};

/// \brief Action: writes the group's plan if its revision is `expected`; 0 means that the key is
/// absent.
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

/// \brief Event: the call had no answer. A swap may have taken effect or may still do so.
struct PlanCallLost {
  PlanCallId call = 0;
};

}  // namespace cornelrelay::balance
