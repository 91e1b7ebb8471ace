#include <algorithm>
#include <cassert>

#include "fleet_view.h"

namespace cornelrelay::routing {

namespace {

// Shorter spans are dominated by the jitter of single chunks.
constexpr double kLeastTokensPerSample = 4;

// A slow replica needs this many results before its share is cut.
constexpr std::size_t kLeastResults = 2;

// The router keeps its own load for this long, to subtract it from reports up to this age.
constexpr core::Duration kOwnLoadSpan = std::chrono::seconds(10);
constexpr std::size_t kOwnLoadEntries = 512;

double Micros(core::Duration duration) { return static_cast<double>(duration.count()); }

void Blend(double& mean, double sample, double gain) { mean += gain * (sample - mean); }

}  // namespace

void ReplicaRouter::Apply(core::Instant now, const AttemptStarted& event, Actions&) {
  const auto found = m_replicas.find(event.replica);
  if (found == m_replicas.end() || m_attempts.contains(event.attempt)) return;
  Record& record = found->second;
  const FleetView fleet = View(now);
  internal::Attempt attempt;
  attempt.replica = event.replica;
  attempt.sent = now;
  attempt.own_work = OwnWork(now, event.replica, event.size, event.prefix_key);
  attempt.work = PendingWork(now, record, fleet) + attempt.own_work;
  record.due[event.attempt] = now + Score(now, record, event.size, event.prefix_key, fleet);
  record.outstanding += 1;
  record.pending_work += attempt.own_work;
  NoteOwnLoad(now, record);
  m_prefixes.Sent(now, event.prefix_key, event.replica);
  m_attempts.emplace(event.attempt, std::move(attempt));
}

void ReplicaRouter::Apply(core::Instant now, const FirstTokenReceived& event, Actions& out) {
  const auto found = m_attempts.find(event.attempt);
  if (found == m_attempts.end() || found->second.first_token) return;
  internal::Attempt& attempt = found->second;
  attempt.first_token = attempt.marked_at = now;
  const auto replica = m_replicas.find(attempt.replica);
  if (replica == m_replicas.end()) return;
  Record& record = replica->second;
  record.due.erase(event.attempt);
  record.pending_work = std::max(0.0, record.pending_work - attempt.own_work);
  NoteOwnLoad(now, record);

  const double time = std::max(0.0, Micros(now - attempt.sent - RoundTrip(record)));
  if (record.first_work == 0) {
    // The first result counts as a second one beside the fleet's median, or alone when there is
    // none yet.
    const FleetView fleet = View(now);
    record.first_work = attempt.work;
    record.first_time = fleet.measured ? attempt.work * fleet.unit_time : time;
  }
  Blend(record.first_time, time, m_config.gain);
  Blend(record.first_work, attempt.work, m_config.gain);
  ++record.results;
  record.consecutive_failures = 0;
  if (record.phase == ReplicaPhase::kEjected) SetPhase(now, record, ReplicaPhase::kRamping, out);
  ReviewSpeed(now, record, out);
}

void ReplicaRouter::LearnTokenRate(core::Instant now, internal::Attempt& attempt, double output) {
  const auto replica = m_replicas.find(attempt.replica);
  const double tokens = output - attempt.marked_output;
  if (replica == m_replicas.end() || !attempt.first_token || tokens < kLeastTokensPerSample) return;
  const double sample = Micros(now - attempt.marked_at) / tokens;
  Record& record = replica->second;
  if (record.token_time == 0) record.token_time = sample;
  Blend(record.token_time, sample, m_config.gain);
  attempt.marked_at = now;
  attempt.marked_output = output;
}

void ReplicaRouter::Apply(core::Instant now, const StreamProgressed& event, Actions& out) {
  const auto found = m_attempts.find(event.attempt);
  if (found == m_attempts.end()) return;
  LearnTokenRate(now, found->second, event.output);
  const auto replica = m_replicas.find(found->second.replica);
  if (replica != m_replicas.end()) ReviewSpeed(now, replica->second, out);
}

void ReplicaRouter::Apply(core::Instant now, const AttemptFinished& event, Actions& out) {
  const auto found = m_attempts.find(event.attempt);
  if (found == m_attempts.end()) return;
  if (!found->second.first_token) Apply(now, FirstTokenReceived{event.attempt}, out);
  LearnTokenRate(now, found->second, event.output);
  const auto replica = m_replicas.find(found->second.replica);
  if (replica != m_replicas.end()) {
    Record& record = replica->second;
    const double held = Micros(now - *found->second.first_token);
    if (record.hold_time == 0) record.hold_time = held;
    Blend(record.hold_time, held, m_config.gain);
    ReviewSpeed(now, record, out);
  }
  EndAttempt(now, found);
}

void ReplicaRouter::Apply(core::Instant now, const AttemptFailed& event, Actions& out) {
  const auto found = m_attempts.find(event.attempt);
  if (found == m_attempts.end()) return;
  const auto replica = m_replicas.find(found->second.replica);
  if (replica != m_replicas.end()) {
    Record& record = replica->second;
    ++record.consecutive_failures;
    const bool eject = record.consecutive_failures >= m_config.failures_to_eject;
    if (eject || record.phase == ReplicaPhase::kEjected) {
      SetPhase(now, record, ReplicaPhase::kEjected, out);
    }
  }
  EndAttempt(now, found);
}

void ReplicaRouter::Apply(core::Instant now, const AttemptCancelled& event, Actions&) {
  const auto found = m_attempts.find(event.attempt);
  if (found != m_attempts.end()) EndAttempt(now, found);
}

void ReplicaRouter::EndAttempt(core::Instant now,
                               std::map<core::AttemptId, internal::Attempt>::iterator attempt) {
  const auto replica = m_replicas.find(attempt->second.replica);
  if (replica != m_replicas.end()) {
    Record& record = replica->second;
    record.outstanding = std::max(0.0, record.outstanding - 1);
    if (record.due.erase(attempt->first) > 0) {
      record.pending_work = std::max(0.0, record.pending_work - attempt->second.own_work);
    }
    NoteOwnLoad(now, record);
  }
  m_attempts.erase(attempt);
}

void ReplicaRouter::NoteOwnLoad(core::Instant now, Record& record) {
  record.own_loads.push_back({now, record.outstanding, record.pending_work});
  auto& loads = record.own_loads;
  // The newest entry older than the span stays: it holds the load at the span's start.
  while (loads.size() > kOwnLoadEntries || (loads.size() > 1 && loads[1].at < now - kOwnLoadSpan)) {
    loads.pop_front();
  }
}

void ReplicaRouter::ReviewSpeed(core::Instant now, Record& record, Actions& out) {
  if (record.phase == ReplicaPhase::kRamping && now - record.phase_since >= m_config.slow_start) {
    SetPhase(now, record, ReplicaPhase::kSteady, out);
  }
  const FleetView fleet = View(now);
  const double ratio = Slowness(record, fleet);
  if (record.phase == ReplicaPhase::kSlow) {
    if (ratio < m_config.recovered_factor) SetPhase(now, record, ReplicaPhase::kRamping, out);
  } else if (record.phase != ReplicaPhase::kEjected && ratio > m_config.slow_factor &&
             record.results >= kLeastResults) {
    SetPhase(now, record, ReplicaPhase::kSlow, out);
  }
}

}  // namespace cornelrelay::routing
