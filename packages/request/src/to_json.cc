#include "cornelrelay/request/to_json.h"

#include <nlohmann/json.hpp>

namespace cornelrelay::request {

nlohmann::json ToJson(const RequestSnapshot& snapshot) {
  nlohmann::json out = {{"id", snapshot.id.value()},         {"state", ToString(snapshot.state)},
                        {"attempts", snapshot.attempts},     {"sent", snapshot.sent},
                        {"claim_held", snapshot.claim_held}, {"may_retry", snapshot.may_retry},
                        {"tried", nlohmann::json::array()}};
  for (const auto& upstream : snapshot.tried) out["tried"].push_back(upstream.value());
  if (snapshot.forwarded_sequence) out["forwarded_sequence"] = *snapshot.forwarded_sequence;
  if (snapshot.current_attempt) out["current_attempt"] = snapshot.current_attempt->value();
  if (snapshot.wake_at) out["wake_at_us"] = snapshot.wake_at->time_since_epoch().count();
  if (snapshot.error) out["error"] = ToString(*snapshot.error);
  return out;
}

}  // namespace cornelrelay::request
