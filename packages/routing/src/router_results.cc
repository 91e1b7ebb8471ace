#include <algorithm>
#include <cassert>

#include "fleet_view.h"

namespace cornelrelay::routing {

namespace {

// Samples of fewer tokens are dominated by the jitter of single chunks.
constexpr double kMinSampleTokens = 4;

// A replica needs this many results before it can enter the slow phase.
constexpr std::size_t kMinResultsForSlow = 2;

// The router keeps the history of its own load for this long, to subtract it from reports up to
// this age.
constexpr core::Duration kOwnLoadHistorySpan = std::chrono::seconds(10);
constexpr std::size_t kMaxOwnLoadEntries = 512;

double Micros(core::Duration duration) { return static_cast<double>(duration.count()); }

void UpdateRunningMean(double& mean, double sample, double gain) { mean += gain * (sample - mean); }

}  // namespace

void ReplicaRouter::Apply(core::Instant now, const AttemptStarted& event, Actions&) {
  const auto found = m_replicas.find(event.replica);
  if (found == m_replicas.end() || m_attempts.contains(event.attempt)) return;
  Record& record = found->second;
  const FleetView fleet = ComputeFleetView(now);
  internal::Attempt attempt;
  attempt.replica = event.replica;
  attempt.sent_at = now;
  attempt.request_work = RequestWork(now, event.replica, event.size, event.prefix_key);
  attempt.work_before_first_token = PendingWork(now, record, fleet) + attempt.request_work;
  record.first_token_due[event.attempt] =
      now + Score(now, record, event.size, event.prefix_key, fleet);
  record.outstanding += 1;
  record.pending_work += attempt.request_work;
  RecordOwnLoad(now, record);
  m_prefixes.Insert(now, event.prefix_key, event.replica);
  m_attempts.emplace(event.attempt, std::move(attempt));
}

void ReplicaRouter::Apply(core::Instant now, const FirstTokenReceived& event, Actions& out) {
  const auto found = m_attempts.find(event.attempt);
  if (found == m_attempts.end() || found->second.first_token_at) return;
  internal::Attempt& attempt = found->second;
  attempt.first_token_at = attempt.last_sample_at = now;
  const auto replica = m_replicas.find(attempt.replica);
  if (replica == m_replicas.end()) return;
  Record& record = replica->second;
  record.first_token_due.erase(event.attempt);
  record.pending_work = std::max(0.0, record.pending_work - attempt.request_work);
  RecordOwnLoad(now, record);

  const double time = std::max(0.0, Micros(now - attempt.sent_at - RoundTrip(record)));
  if (record.ttft_work == 0) {
    // The fleet's median serves as the initial value of the mean, or the first result itself if
    // there is no median yet.
    const FleetView fleet = ComputeFleetView(now);
    record.ttft_work = attempt.work_before_first_token;
    record.ttft_us =
        fleet.has_results ? attempt.work_before_first_token * fleet.time_per_unit_us : time;
  }
  UpdateRunningMean(record.ttft_us, time, m_config.gain);
  UpdateRunningMean(record.ttft_work, attempt.work_before_first_token, m_config.gain);
  ++record.results;
  record.consecutive_failures = 0;
  if (record.phase == ReplicaPhase::kEjected) SetPhase(now, record, ReplicaPhase::kRamping, out);
  UpdateSpeedPhase(now, record, out);
}

void ReplicaRouter::UpdateTokenTime(core::Instant now, internal::Attempt& attempt,
                                    double output_tokens) {
  const auto replica = m_replicas.find(attempt.replica);
  const double tokens = output_tokens - attempt.last_sample_tokens;
  if (replica == m_replicas.end() || !attempt.first_token_at || tokens < kMinSampleTokens) return;
  const double sample = Micros(now - attempt.last_sample_at) / tokens;
  Record& record = replica->second;
  if (record.time_per_token_us == 0) record.time_per_token_us = sample;
  UpdateRunningMean(record.time_per_token_us, sample, m_config.gain);
  attempt.last_sample_at = now;
  attempt.last_sample_tokens = output_tokens;
}

void ReplicaRouter::Apply(core::Instant now, const StreamProgressed& event, Actions& out) {
  const auto found = m_attempts.find(event.attempt);
  if (found == m_attempts.end()) return;
  UpdateTokenTime(now, found->second, event.output_tokens);
  const auto replica = m_replicas.find(found->second.replica);
  if (replica != m_replicas.end()) UpdateSpeedPhase(now, replica->second, out);
}

void ReplicaRouter::Apply(core::Instant now, const AttemptFinished& event, Actions& out) {
  const auto found = m_attempts.find(event.attempt);
  if (found == m_attempts.end()) return;
  if (!found->second.first_token_at) Apply(now, FirstTokenReceived{event.attempt}, out);
  UpdateTokenTime(now, found->second, event.output_tokens);
  const auto replica = m_replicas.find(found->second.replica);
  if (replica != m_replicas.end()) {
    Record& record = replica->second;
    const double holding_time = Micros(now - *found->second.first_token_at);
    if (record.holding_time_us == 0) record.holding_time_us = holding_time;
    UpdateRunningMean(record.holding_time_us, holding_time, m_config.gain);
    UpdateSpeedPhase(now, record, out);
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
    if (record.first_token_due.erase(attempt->first) > 0) {
      record.pending_work = std::max(0.0, record.pending_work - attempt->second.request_work);
    }
    RecordOwnLoad(now, record);
  }
  m_attempts.erase(attempt);
}

void ReplicaRouter::RecordOwnLoad(core::Instant now, Record& record) {
  record.own_load_history.push_back({now, record.outstanding, record.pending_work});
  auto& loads = record.own_load_history;
  // The newest entry before the span stays, because it holds the load at the start of the span.
  while (loads.size() > kMaxOwnLoadEntries ||
         (loads.size() > 1 && loads[1].at < now - kOwnLoadHistorySpan)) {
    loads.pop_front();
  }
}

void ReplicaRouter::UpdateSpeedPhase(core::Instant now, Record& record, Actions& out) {
  if (record.phase == ReplicaPhase::kRamping && now - record.phase_since >= m_config.slow_start) {
    SetPhase(now, record, ReplicaPhase::kSteady, out);
  }
  const FleetView fleet = ComputeFleetView(now);
  const double ratio = SlowdownFactor(record, fleet);
  if (record.phase == ReplicaPhase::kSlow) {
    if (ratio < m_config.recovered_factor) SetPhase(now, record, ReplicaPhase::kRamping, out);
  } else if (record.phase != ReplicaPhase::kEjected && ratio > m_config.slow_factor &&
             record.results >= kMinResultsForSlow) {
    SetPhase(now, record, ReplicaPhase::kSlow, out);
  }
}

}  // namespace cornelrelay::routing
