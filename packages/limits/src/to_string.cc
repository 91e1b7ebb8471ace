#include "cornelrelay/limits/admission_action.h"
#include "cornelrelay/limits/standing.h"

namespace cornelrelay::limits {

std::string_view ToString(RefusalReason reason) {
  switch (reason) {
    case RefusalReason::kUnknownService:
      return "unknown_service";
    case RefusalReason::kNoShare:
      return "no_share";
    case RefusalReason::kQueueFull:
      return "queue_full";
    case RefusalReason::kDeadline:
      return "deadline";
  }
  return "unknown";
}

std::string_view ToString(Standing standing) {
  switch (standing) {
    case Standing::kNew:
      return "new";
    case Standing::kOrphan:
      return "orphan";
    case Standing::kSettled:
      return "settled";
  }
  return "unknown";
}

}  // namespace cornelrelay::limits
