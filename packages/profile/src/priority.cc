#include "cornelrelay/profile/priority.h"

namespace cornelrelay::profile {

std::string_view ToString(Priority priority) {
  switch (priority) {
    case Priority::kLow:
      return "low";
    case Priority::kNormal:
      return "normal";
    case Priority::kHigh:
      break;
  }
  return "high";
}

std::optional<Priority> ParsePriority(std::string_view text) {
  for (const Priority priority : {Priority::kLow, Priority::kNormal, Priority::kHigh}) {
    if (text == ToString(priority)) return priority;
  }
  return std::nullopt;
}

}  // namespace cornelrelay::profile
