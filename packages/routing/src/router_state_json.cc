#include "cornelrelay/routing/router_state_json.h"

#include <nlohmann/json.hpp>

namespace cornelrelay::routing {

nlohmann::json ToJson(const ReplicaRouter& router) {
  nlohmann::json replicas = nlohmann::json::array();
  for (const auto& [id, record] : router.replicas()) {
    replicas.push_back(
        {{"id", id.value()},
         {"data_centre", record.status.data_centre.value()},
         {"usable", record.status.usable},
         {"leaving", record.status.leaving},
         {"kept", record.kept},
         {"phase", std::string(ToString(record.phase))},
         {"own_outstanding", record.outstanding},
         {"own_pending_work", record.pending_work},
         {"others_outstanding", record.others_outstanding},
         {"others_pending_work", record.others_pending_work},
         {"first_token_us_per_unit", record.ttft_work > 0 ? record.ttft_us / record.ttft_work : 0},
         {"token_us", record.time_per_token_us},
         {"results", record.results},
         {"consecutive_failures", record.consecutive_failures}});
  }
  return {{"replicas", std::move(replicas)},
          {"attempts_in_flight", router.attempts_in_flight()},
          {"prefixes", router.prefixes()},
          {"doubts_observer", router.suspects_isolation()}};
}

nlohmann::json ToJson(const RoutingDecision& decision) {
  nlohmann::json candidates = nlohmann::json::array();
  for (const CandidateOutcome& candidate : decision.candidates) {
    nlohmann::json entry = {{"replica", candidate.replica.value()}};
    if (candidate.score) entry["score_us"] = candidate.score->count();
    if (candidate.exclusion) entry["excluded"] = std::string(ToString(*candidate.exclusion));
    candidates.push_back(std::move(entry));
  }
  return {{"request", decision.request.value()},
          {"chosen", decision.chosen ? nlohmann::json(decision.chosen->value()) : nlohmann::json()},
          {"probe", decision.probe},
          {"candidates", std::move(candidates)}};
}

}  // namespace cornelrelay::routing
