#include <algorithm>
#include <cmath>
#include <numbers>

#include "cornelrelay/core/hash.h"
#include "fleet_view.h"

namespace cornelrelay::routing {

namespace {

// Used before the first result; any positive value ranks replicas by their load.
constexpr double kDefaultUnitTime = 100;

// A decode rate this much above the median counts against the time to first token as well. Smaller
// differences come from the size of the batch.
constexpr double kTokenTimeTolerance = 1.5;

// First tokens wait in queues, so their running mean varies by this factor between equal replicas.
// Scoring by smaller differences chases queues that are gone and loses cached prefixes.
constexpr double kFirstTimeTolerance = 2.5;

// Token rates depend on neither queues nor the cache. Where they are known, first tokens count only
// in the extreme.
constexpr double kFirstTimeToleranceWithRates = 6;

double Micros(core::Duration duration) { return static_cast<double>(duration.count()); }

// The load of other processes drifts back to the fleet's mean after it was measured.
double Discounted(double reported, double mean, core::Duration age, core::Duration half_life) {
  return mean + (reported - mean) * std::exp2(-Micros(age) / Micros(half_life));
}

// Mean of the positive part of a normal variable. A hard step at the number of slots would make all
// entry processes leave a replica together and return to it together.
double ExpectedExcess(double mean, double spread) {
  const double z = mean / spread;
  const double density = std::exp(-z * z / 2) / std::sqrt(2 * std::numbers::pi);
  const double below = std::erfc(-z / std::numbers::sqrt2) / 2;
  return spread * (density + z * below);
}

}  // namespace

double Median(std::vector<double> values) {
  if (values.empty()) return 0;
  const auto middle = values.begin() + static_cast<std::ptrdiff_t>((values.size() - 1) / 2);
  std::nth_element(values.begin(), middle, values.end());
  return *middle;
}

ReplicaRouter::FleetView ReplicaRouter::View(core::Instant) const {
  FleetView view;
  std::vector<double> unit_times, token_times, hold_times;
  std::size_t count = 0, ejected = 0, reported = 0;
  for (const auto& [id, record] : m_replicas) {
    if (record.status.leaving || (record.lost_at && !record.kept)) continue;
    ++count;
    if (record.phase == ReplicaPhase::kEjected) ++ejected;
    if (record.first_work > 0) unit_times.push_back(record.first_time / record.first_work);
    if (record.token_time > 0) token_times.push_back(record.token_time);
    if (record.hold_time > 0) hold_times.push_back(record.hold_time);
    view.own_outstanding += record.outstanding;
    if (record.reported_at) {
      ++reported;
      view.others_outstanding += record.others_outstanding;
      view.others_pending += record.others_pending;
    }
  }
  if (count > 0) view.own_outstanding /= static_cast<double>(count);
  if (reported > 0) {
    view.others_outstanding /= static_cast<double>(reported);
    view.others_pending /= static_cast<double>(reported);
  }
  view.measured = !unit_times.empty();
  view.unit_time = unit_times.empty() ? kDefaultUnitTime : Median(std::move(unit_times));
  view.token_time = Median(std::move(token_times));
  view.hold_time = Median(std::move(hold_times));
  view.ignore_ejection = ejected * m_config.doubt_divisor > count;
  return view;
}

double ReplicaRouter::Slowness(const Record& record, const FleetView& fleet) const {
  const bool rates = record.token_time > 0 && fleet.token_time > 0;
  double slowness = 1;
  if (record.first_work > 0 && fleet.unit_time > 0) {
    const double ratio = record.first_time / record.first_work / fleet.unit_time;
    if (ratio > (rates ? kFirstTimeToleranceWithRates : kFirstTimeTolerance)) slowness = ratio;
  }
  if (rates) {
    const double ratio = record.token_time / fleet.token_time;
    if (ratio > kTokenTimeTolerance) slowness = std::max(slowness, ratio);
  }
  return slowness;
}

double ReplicaRouter::Outstanding(core::Instant now, const Record& record,
                                  const FleetView& fleet) const {
  const double mean = fleet.others_outstanding;
  if (!record.reported_at) return record.outstanding + mean;
  return record.outstanding + mean +
         (record.others_outstanding - mean) * ReportTrust(now, record, fleet);
}

double ReplicaRouter::ReportTrust(core::Instant now, const Record& record,
                                  const FleetView& fleet) const {
  if (!record.reported_at) return 0;
  const double age = Micros(now - *record.reported_at);
  const double hold = fleet.hold_time > 0 ? fleet.hold_time : Micros(m_config.report_half_life);
  // All entry processes see the same report. If each answered it in full, they would together fill
  // the replica that was least loaded a second ago, so each answers for its own part of the load.
  const double all = fleet.own_outstanding + fleet.others_outstanding;
  return all > 0 ? fleet.own_outstanding / all * std::exp(-age / hold) : 0;
}

core::Duration ReplicaRouter::SlotWait(core::Instant now, const Record& record,
                                       const FleetView& fleet) const {
  const double slots = std::max<double>(record.status.slots, 1);
  const double above = Outstanding(now, record, fleet) + 1 - slots;
  // What came and went since the report is unknown; its spread grows to that of a random arrival
  // stream.
  const double trust = ReportTrust(now, record, fleet);
  const double spread = std::sqrt(std::max(1.0, fleet.others_outstanding * (1 - trust * trust)));
  const double excess = ExpectedExcess(above, spread);
  return core::Duration(
      static_cast<core::Duration::rep>(excess * fleet.hold_time * Slowness(record, fleet) / slots));
}

double ReplicaRouter::PendingWork(core::Instant now, const Record& record,
                                  const FleetView& fleet) const {
  const double mean = fleet.others_pending;
  if (!record.reported_at) return record.pending_work + mean;
  return record.pending_work + Discounted(record.others_pending, mean, now - *record.reported_at,
                                          m_config.report_half_life);
}

double ReplicaRouter::OwnWork(core::Instant now, const core::UpstreamId& replica,
                              const SizeEstimate& size, const PrefixKey& key) const {
  if (key.empty() || size.prefix <= 0) return size.prompt;
  double hit = m_prefixes.HitChance(now, key, replica);
  const core::UpstreamId* home = Home(key);
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
  const double slowness = Slowness(record, fleet);
  const double work = PendingWork(now, record, fleet) + OwnWork(now, record.status.id, size, key);
  const double micros = work * fleet.unit_time * slowness;

  // An overdue first token is evidence before any result: a stalled replica returns none.
  core::Duration overdue{};
  for (const auto& [attempt, due] : record.due) overdue = std::max(overdue, now - due);
  return RoundTrip(record) + overdue + SlotWait(now, record, fleet) +
         core::Duration(static_cast<core::Duration::rep>(micros));
}

const core::UpstreamId* ReplicaRouter::Home(const PrefixKey& key) const {
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
