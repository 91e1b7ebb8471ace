#include "cornelrelay/store/store_client_dump.h"

#include <nlohmann/json.hpp>

namespace cornelrelay::store {

nlohmann::json ToJson(const StoreClient& client) {
  return {{"outage", client.InOutage()},
          {"consecutive_failures", client.ConsecutiveFailures()},
          {"next_trial_us", client.NextTrial().time_since_epoch().count()},
          {"waiting", client.Waiting()},
          {"in_flight", client.InFlight()},
          {"late_replies", client.LateReplies()}};
}

}  // namespace cornelrelay::store
