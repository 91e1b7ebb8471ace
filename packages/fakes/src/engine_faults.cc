#include "cornelrelay/fakes/engine_faults.h"

#include <nlohmann/json.hpp>

namespace cornelrelay::fakes {

EngineFaults ParseEngineFaults(const nlohmann::json& json) {
  EngineFaults faults;
  faults.slow_factor = json.value("slow_factor", 1.0);
  faults.truncate_after = json.value("truncate_after", 0);
  faults.foreign_id_at = json.value("foreign_id_at", 0);
  faults.duplicate_at = json.value("duplicate_at", 0);
  faults.skip_at = json.value("skip_at", 0);
  faults.split_at = json.value("split_at", 0);
  faults.stalled = json.value("stalled", false);
  return faults;
}

}  // namespace cornelrelay::fakes
