#include "cornelrelay/core/execution.h"

namespace cornelrelay::core {

std::string_view ToString(Execution execution) {
  switch (execution) {
    case Execution::kNotRun:
      return "not_run";
    case Execution::kUnknown:
      return "unknown";
    case Execution::kCompleted:
      return "completed";
  }
  return "unknown";
}

}  // namespace cornelrelay::core
