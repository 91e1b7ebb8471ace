#include <algorithm>
#include <cmath>
#include <numbers>

#include "cornelrelay/core/hash.h"
#include "fleet_view.h"

namespace cornelrelay::routing {

namespace {

// Used before the first result. Any positive value ranks replicas by their load.
constexpr double kDefaultTimePerUnitUs = 100;

// A time per output token above this multiple of the median also raises the expected time to first
// token. Smaller differences come from the batch size.
constexpr double kTokenTimeTolerance = 1.5;

// First tokens wait in queues, so their mean time varies by this factor between equal replicas.
// Scoring by smaller differences would react to queues that no longer exist and lose cached
// prefixes.
constexpr double kFirstTokenTolerance = 2.5;

// Token rates depend on neither queues nor the cache. Where they are known, the time to first token
// counts only above this multiple of the median.
constexpr double kFirstTokenToleranceWithRates = 6;

double Micros(core::Duration duration) { return static_cast<double>(duration.count()); }

// Expected load of other entry processes: its deviation from the fleet's mean decays exponentially
// after the measurement.
double DecayTowardsMean(double reported, double mean, core::Duration age,
                        core::Duration half_life) {
  return mean + (reported - mean) * std::exp2(-Micros(age) / Micros(half_life));
}

// Mean of the positive part of a normal variable with mean `mean` and standard deviation `spread`.
// A hard step at the number of slots would make all entry processes leave a replica and return to
// it at the same time.
double ExpectedExcess(double mean, double spread) {
  const double z = mean / spread;
  const double density = std::exp(-z * z / 2) / std::sqrt(2 * std::numbers::pi);
  const double positive_probability = std::erfc(-z / std::numbers::sqrt2) / 2;
  return spread * (density + z * positive_probability);
}

}  // namespace

double Median(std::vector<double> values) {
  if (values.empty()) return 0;
  const auto middle = values.begin() + static_cast<std::ptrdiff_t>((values.size() - 1) / 2);
  std::nth_element(values.begin(), middle, values.end());
  return *middle;
}

ReplicaRouter::FleetView ReplicaRouter::ComputeFleetView(core::Instant) const {
  FleetView view;
  std::vector<double> unit_times, token_times, holding_times;
  std::size_t count = 0, ejected = 0, reported = 0;
  for (const auto& [id, record] : m_replicas) {
    if (record.status.leaving || (record.lost_at && !record.kept)) continue;
    ++count;
    if (record.phase == ReplicaPhase::kEjected) ++ejected;
    if (record.ttft_work > 0) unit_times.push_back(record.ttft_us / record.ttft_work);
    if (record.time_per_token_us > 0) token_times.push_back(record.time_per_token_us);
    if (record.holding_time_us > 0) holding_times.push_back(record.holding_time_us);
    view.own_outstanding += record.outstanding;
    if (record.report_measured_at) {
      ++reported;
      view.others_outstanding += record.others_outstanding;
      view.others_pending_work += record.others_pending_work;
    }
  }
  if (count > 0) view.own_outstanding /= static_cast<double>(count);
  if (reported > 0) {
    view.others_outstanding /= static_cast<double>(reported);
    view.others_pending_work /= static_cast<double>(reported);
  }
  view.has_results = !unit_times.empty();
  view.time_per_unit_us =
      unit_times.empty() ? kDefaultTimePerUnitUs : Median(std::move(unit_times));
  view.time_per_token_us = Median(std::move(token_times));
  view.holding_time_us = Median(std::move(holding_times));
  view.ignore_ejection = ejected * m_config.mass_loss_divisor > count;
  return view;
}

double ReplicaRouter::SlowdownFactor(const Record& record, const FleetView& fleet) const {
  const bool has_rates = record.time_per_token_us > 0 && fleet.time_per_token_us > 0;
  double factor = 1;
  if (record.ttft_work > 0 && fleet.time_per_unit_us > 0) {
    const double ratio = record.ttft_us / record.ttft_work / fleet.time_per_unit_us;
    if (ratio > (has_rates ? kFirstTokenToleranceWithRates : kFirstTokenTolerance)) factor = ratio;
  }
  if (has_rates) {
    const double ratio = record.time_per_token_us / fleet.time_per_token_us;
    if (ratio > kTokenTimeTolerance) factor = std::max(factor, ratio);
  }
  return factor;
}

double ReplicaRouter::Outstanding(core::Instant now, const Record& record,
                                  const FleetView& fleet) const {
  const double mean = fleet.others_outstanding;
  if (!record.report_measured_at) return record.outstanding + mean;
  return record.outstanding + mean +
         (record.others_outstanding - mean) * ReportWeight(now, record, fleet);
}

double ReplicaRouter::ReportWeight(core::Instant now, const Record& record,
                                   const FleetView& fleet) const {
  if (!record.report_measured_at) return 0;
  const double age = Micros(now - *record.report_measured_at);
  const double holding_time =
      fleet.holding_time_us > 0 ? fleet.holding_time_us : Micros(m_config.report_half_life);
  // All entry processes see the same report. If each reacted to it in full, together they would
  // overload the replica that was least loaded a second ago. So each reacts in proportion to its
  // own share of the load.
  const double total = fleet.own_outstanding + fleet.others_outstanding;
  return total > 0 ? fleet.own_outstanding / total * std::exp(-age / holding_time) : 0;
}

core::Duration ReplicaRouter::ExpectedSlotWait(core::Instant now, const Record& record,
                                               const FleetView& fleet) const {
  const double slots = std::max<double>(record.status.slots, 1);
  const double above_slots = Outstanding(now, record, fleet) + 1 - slots;
  // Arrivals and departures since the report are unknown. The standard deviation grows with the age
  // of the report up to that of random arrivals.
  const double weight = ReportWeight(now, record, fleet);
  const double spread = std::sqrt(std::max(1.0, fleet.others_outstanding * (1 - weight * weight)));
  const double excess = ExpectedExcess(above_slots, spread);
  return core::Duration(static_cast<core::Duration::rep>(excess * fleet.holding_time_us *
                                                         SlowdownFactor(record, fleet) / slots));
}

double ReplicaRouter::PendingWork(core::Instant now, const Record& record,
                                  const FleetView& fleet) const {
  const double mean = fleet.others_pending_work;
  if (!record.report_measured_at) return record.pending_work + mean;
  return record.pending_work + DecayTowardsMean(record.others_pending_work, mean,
                                                now - *record.report_measured_at,
                                                m_config.report_half_life);
}

double ReplicaRouter::RequestWork(core::Instant now, const core::UpstreamId& replica,
                                  const SizeEstimate& size, const PrefixKey& key) const {
  if (key.empty() || size.prefix <= 0) return size.prompt;
  double hit = m_prefixes.HitProbability(now, key, replica);
  const core::UpstreamId* home = HomeReplica(key);
  if (home != nullptr && *home == replica) hit = std::max(hit, m_config.home_hit_prior);
  return std::max(0.0, size.prompt - hit * size.prefix);
}

core::Duration ReplicaRouter::RoundTrip(const Record& record) const {
  const auto found = m_config.one_way_latencies.find(record.status.data_centre);
  return found == m_config.one_way_latencies.end() ? core::Duration::zero() : 2 * found->second;
}

core::Duration ReplicaRouter::Score(core::Instant now, const Record& record,
                                    const SizeEstimate& size, const PrefixKey& key,
                                    const FleetView& fleet) const {
  const double slowdown = SlowdownFactor(record, fleet);
  const double work =
      PendingWork(now, record, fleet) + RequestWork(now, record.status.id, size, key);
  const double micros = work * fleet.time_per_unit_us * slowdown;

  // Overdue first tokens count before any result arrives, because a stalled replica returns none.
  core::Duration overdue{};
  for (const auto& [attempt, due] : record.first_token_due) overdue = std::max(overdue, now - due);
  return RoundTrip(record) + overdue + ExpectedSlotWait(now, record, fleet) +
         core::Duration(static_cast<core::Duration::rep>(micros));
}

const core::UpstreamId* ReplicaRouter::HomeReplica(const PrefixKey& key) const {
  const core::UpstreamId* home = nullptr;
  std::uint64_t best = 0;
  for (const auto& [id, record] : m_replicas) {
    if (record.status.leaving || (record.lost_at && !record.kept)) continue;
    if (record.phase == ReplicaPhase::kEjected || record.phase == ReplicaPhase::kSlow) continue;
    const std::uint64_t score = core::RendezvousScore(key.value(), id.value());
    if (home == nullptr || score > best) {
      home = &id;
      best = score;
    }
  }
  return home;
}

}  // namespace cornelrelay::routing
