#include "cornelrelay/balance/plan_record.h"

#include <cassert>
#include <nlohmann/json.hpp>
#include <utility>

#include "cornelrelay/balance/corrupt_plan.h"
#include "cornelrelay/balance/invalid_expert_map.h"

namespace cornelrelay::balance {
namespace {

using nlohmann::json;

json ToJson(const ExpertMap& map) {
  json placement = json::array();
  for (const auto& [expert, ranks] : map.placement()) placement.push_back({expert, ranks});
  return {{"version", map.version()}, {"ranks", map.ranks()}, {"placement", std::move(placement)}};
}

ExpertMap ExpertMapFromJson(const json& value) {
  ExpertMap::Placement placement;
  for (const json& entry : value.at("placement")) {
    placement.emplace(entry.at(0).get<ExpertIndex>(), entry.at(1).get<std::set<RankIndex>>());
  }
  return ExpertMap(value.at("version").get<std::uint64_t>(), value.at("ranks").get<RankIndex>(),
                   std::move(placement));
}

}  // namespace

CorruptPlan::CorruptPlan(const std::string& reason) : Error("corrupt_plan", reason) {}

std::optional<ExpertMap> PlanRecord::MapAt(StepIndex step) const {
  if (step < base_from) return previous;
  if (step < switch_at || state == PlanState::kAborted) return base;
  if (state == PlanState::kCommitted) return next;
  return std::nullopt;
}

const ExpertMap& PlanRecord::CurrentMap() const {
  assert(state != PlanState::kProposed);
  return state == PlanState::kCommitted ? next : base;
}

std::set<ExpertIndex> PlanRecord::RequiredExperts(RankIndex rank, StepIndex from) const {
  std::set<ExpertIndex> needed;
  if (from < base_from) needed.merge(previous.ExpertsOn(rank));
  if (from < switch_at || state != PlanState::kCommitted) needed.merge(base.ExpertsOn(rank));
  if (state == PlanState::kCommitted) needed.merge(next.ExpertsOn(rank));
  return needed;
}

PlanRecord PlanRecord::Propose(Fence writer, ExpertMap map, StepIndex switch_step) const {
  assert(state != PlanState::kProposed);
  PlanRecord proposal = *this;
  proposal.number = number + 1;
  proposal.fence = writer;
  proposal.state = PlanState::kProposed;
  if (state == PlanState::kCommitted) {
    proposal.previous = base;
    proposal.base_from = switch_at;
    proposal.base = next;
  }
  assert(switch_step > proposal.base_from);
  proposal.switch_at = switch_step;
  proposal.next = std::move(map);
  return proposal;
}

PlanRecord PlanRecord::Decide(Fence writer, bool commit) const {
  assert(state == PlanState::kProposed);
  PlanRecord decision = *this;
  decision.fence = writer;
  decision.state = commit ? PlanState::kCommitted : PlanState::kAborted;
  return decision;
}

bool PlanRecord::IsNewerThan(const PlanRecord& other) const {
  if (number != other.number) return number > other.number;
  return other.state == PlanState::kProposed && state != PlanState::kProposed;
}

std::string EncodePlan(const PlanRecord& record) {
  return json{{"number", record.number},
              {"fence", record.fence},
              {"state", static_cast<int>(record.state)},
              {"previous", ToJson(record.previous)},
              {"base_from", record.base_from},
              {"base", ToJson(record.base)},
              {"switch_at", record.switch_at},
              {"next", ToJson(record.next)}}
      .dump();
}

PlanRecord DecodePlan(const std::string& bytes) {
  try {
    const json value = json::parse(bytes);
    const int state = value.at("state").get<int>();
    if (state < 1 || state > 3) throw CorruptPlan("plan state is not 1, 2 or 3");
    return PlanRecord{
        value.at("number").get<std::uint64_t>(), value.at("fence").get<Fence>(),
        static_cast<PlanState>(state),           ExpertMapFromJson(value.at("previous")),
        value.at("base_from").get<StepIndex>(),  ExpertMapFromJson(value.at("base")),
        value.at("switch_at").get<StepIndex>(),  ExpertMapFromJson(value.at("next"))};
  } catch (const json::exception& e) {
    throw CorruptPlan(e.what());
  } catch (const InvalidExpertMap& e) {
    throw CorruptPlan(e.what());
  }
}

}  // namespace cornelrelay::balance
