#include "cornelrelay/telemetry/to_json.h"

#include <nlohmann/json.hpp>

namespace cornelrelay::telemetry {

nlohmann::json ToJson(const DecisionRecord& record) {
  nlohmann::json out = {{"time_ms", record.time.time_since_epoch().count()},
                        {"request", record.request.value()},
                        {"account", record.account.value()},
                        {"service", record.service.value()},
                        {"candidates", nlohmann::json::array()},
                        {"attempts", nlohmann::json::array()},
                        {"outcome", record.outcome},
                        {"execution", core::ToString(record.execution)},
                        {"elapsed_us", record.elapsed.count()}};
  for (const CandidateRecord& candidate : record.candidates) {
    nlohmann::json item = {{"upstream", candidate.upstream.value()}};
    if (candidate.score_seconds) item["score_seconds"] = *candidate.score_seconds;
    if (!candidate.exclusion.empty()) item["excluded"] = candidate.exclusion;
    out["candidates"].push_back(std::move(item));
  }
  for (const AttemptRecord& attempt : record.attempts) {
    out["attempts"].push_back({{"attempt", attempt.attempt.value()},
                               {"upstream", attempt.upstream.value()},
                               {"result", attempt.result}});
  }
  return out;
}

}  // namespace cornelrelay::telemetry
