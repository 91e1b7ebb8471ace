#include "cornelrelay/balance/state_dump.h"

#include <nlohmann/json.hpp>

namespace cornelrelay::balance {
namespace {

using nlohmann::json;

json Summary(const PlanRecord& record) {
  return {{"number", record.number},
          {"fence", record.fence},
          {"state", static_cast<int>(record.state)},
          {"previous_version", record.previous.version()},
          {"base_from", record.base_from},
          {"base_version", record.base.version()},
          {"switch_at", record.switch_at},
          {"next_version", record.next.version()}};
}

}  // namespace

json ToJson(const MapSwitchCoordinator& coordinator) {
  return {{"phase", static_cast<int>(coordinator.phase())},
          {"fence", coordinator.fence()},
          {"plan", Summary(coordinator.record())},
          {"confirmed", coordinator.confirmed()},
          {"live", coordinator.live()},
          {"unserved", coordinator.unserved()}};
}

json ToJson(const RankGate& gate) {
  return {{"rank", gate.rank()},
          {"ready", gate.ready()},
          {"plan", gate.record() ? Summary(*gate.record()) : json()},
          {"fence", gate.fence() ? json(*gate.fence()) : json()},
          {"loaded", gate.loaded()},
          {"loading", gate.loading()},
          {"last_step", gate.last_allowed_step()},
          {"waiting_step", gate.waiting_step() ? json(*gate.waiting_step()) : json()}};
}

}  // namespace cornelrelay::balance
