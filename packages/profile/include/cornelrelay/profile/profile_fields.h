#pragma once

namespace cornelrelay::profile {

/// \brief Where a field stands in a document, and its permitted range where it is a number.
struct Field {
  const char* section;
  const char* key;
  double min = 0;
  double max = 0;
};

/// \brief Calls `visit(Field, member)` for each field but the name, in document order.
///
/// Documents, catalogue encoding, checks and diffs all use this list, so that a new field needs one
/// line here. Durations are in milliseconds there.
template <class AnyProfile, class Visitor>
void VisitFields(AnyProfile& profile, Visitor&& visit) {
  visit(Field{"request", "deadline_ms", 1, 3'600'000}, profile.request.deadline);
  visit(Field{"request", "priority"}, profile.request.priority);
  visit(Field{"request", "all_idempotent"}, profile.request.all_idempotent);
  visit(Field{"request", "idempotent_calls"}, profile.request.idempotent_calls);
  visit(Field{"request", "key_required"}, profile.request.key_required);
  visit(Field{"retry", "attempts", 1, 10}, profile.retry.attempts);
  visit(Field{"retry", "hedges", 0, 4}, profile.retry.hedges);
  visit(Field{"retry", "budget_ratio", 0, 1}, profile.retry.budget_ratio);
  visit(Field{"account", "concurrency", 1, 1'000'000}, profile.account.concurrency);
  visit(Field{"account", "rate_per_s", 0.001, 1'000'000}, profile.account.rate_per_s);
  visit(Field{"account", "queue", 0, 1'000'000}, profile.account.queue);
  visit(Field{"routing", "prefix_affinity"}, profile.routing.prefix_affinity);
  visit(Field{"routing", "affinity_load_bound", 1, 100}, profile.routing.affinity_load_bound);
  visit(Field{"routing", "spill_over_load", 0, 10}, profile.routing.spill_over_load);
  visit(Field{"rebalancing", "skew_weight", 0, 1}, profile.rebalancing.skew_weight);
}

}  // namespace cornelrelay::profile
