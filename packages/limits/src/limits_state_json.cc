#include "cornelrelay/limits/limits_state_json.h"

#include <nlohmann/json.hpp>

namespace cornelrelay::limits {

nlohmann::json ToJson(const AdmissionController& controller) {
  nlohmann::json services = nlohmann::json::object();
  const ShareTracker& shares = controller.shares();
  for (const auto& [id, service] : controller.services()) {
    nlohmann::json accounts = nlohmann::json::object();
    for (const auto& [account, state] : service.accounts) {
      accounts[account.value()] = {{"running", state.running},
                                   {"queued", service.queue.SizeOf(account)},
                                   {"tokens", state.bucket.tokens()}};
    }
    services[id.value()] = {{"running", service.running},
                            {"share", shares.Usable(service.limits.concurrency, id.value())},
                            {"queued", service.queue.size()},
                            {"mean_service_us", service.service_time.mean().count()},
                            {"accounts", std::move(accounts)}};
  }
  nlohmann::json members = nlohmann::json::array();
  for (const Member& member : shares.members()) {
    members.push_back({{"host", member.id.value()}, {"incarnation", member.incarnation}});
  }
  return {{"members", std::move(members)},
          {"view", shares.view()},
          {"confirmed", shares.confirmed()},
          {"settled", shares.settled()},
          {"standing", std::string(ToString(shares.standing()))},
          {"services", std::move(services)}};
}

nlohmann::json ToJson(const RetryBudget& budget) {
  return {{"requests", budget.requests()},
          {"retries", budget.retries()},
          {"refused", budget.refused()},
          {"saved", budget.saved()}};
}

}  // namespace cornelrelay::limits
