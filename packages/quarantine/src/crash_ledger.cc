#include "cornelrelay/quarantine/crash_ledger.h"

#include <algorithm>
#include <utility>

#include "cornelrelay/core/hash.h"

namespace cornelrelay::quarantine {

CrashLedger::CrashLedger(core::HostId self, std::uint64_t incarnation, QuarantineSettings settings)
    : m_self(std::move(self)),
      m_incarnation(incarnation),
      m_settings(settings),
      m_table(settings) {}

std::vector<LedgerAction> CrashLedger::Step(core::Instant now, const LedgerEvent& event) {
  Actions out;
  m_table.Expire(now);
  std::visit([&](const auto& e) { On(now, e, out); }, event);
  DecideIntents(now, out);
  return out;
}

std::optional<core::Instant> CrashLedger::NextTick() const {
  std::optional<core::Instant> next;
  for (const auto& [print, probe] : m_probes) next = next ? std::min(*next, probe.due) : probe.due;
  return next;
}

void CrashLedger::Refuse(const core::AttemptId& attempt, RefuseReason reason, Actions& out) const {
  core::Duration wait = m_settings.memory;
  if (reason == RefuseReason::kProbedElsewhere) {
    // Two suspects that meet on one upstream both withdraw; different waits keep them from meeting
    // again.
    const auto spread = static_cast<std::uint64_t>(m_settings.spread.count());
    wait = 2 * m_settings.spread + core::Duration(core::Hash64(attempt.value()) % (2 * spread + 1));
  }
  out.push_back(RefuseRun{attempt, reason, wait});
}

std::set<core::UpstreamId> CrashLedger::ProbedUpstreams() const {
  std::set<core::UpstreamId> upstreams;
  for (const ProbeRecord& probe : m_table.ActiveProbes(m_self)) upstreams.insert(probe.upstream);
  for (const auto& [print, probe] : m_probes) upstreams.insert(probe.upstream);
  return upstreams;
}

std::set<core::UpstreamId> CrashLedger::CrashedUpstreams(const Fingerprint& print) const {
  // A second crash of the same upstream would prove nothing, so the request would get a third one.
  std::set<core::UpstreamId> upstreams;
  for (const CrashId& id : m_table.Uncleared(print)) upstreams.insert(id.first);
  return upstreams;
}

std::optional<core::UpstreamId> CrashLedger::ProbeUpstream(const RunRequested& event) const {
  // A suspect never runs again where it crashed before, and never beside another suspect: a second
  // crash there would not tell which of them caused it.
  std::set<core::UpstreamId> excluded = ProbedUpstreams();
  for (const CrashId& id : m_table.Uncleared(event.fingerprint)) excluded.insert(id.first);
  for (const core::UpstreamId& candidate : event.candidates) {
    if (!excluded.contains(candidate)) return candidate;
  }
  return std::nullopt;
}

void CrashLedger::On(core::Instant now, const RunRequested& event, Actions& out) {
  const Fingerprint& print = event.fingerprint;
  if (m_table.IsQuarantined(print)) {
    Refuse(event.attempt, RefuseReason::kQuarantined, out);
    return;
  }
  if (!m_table.IsSuspect(print)) {
    m_runs[event.attempt] = Run{print, {}};
    out.push_back(AllowRun{event.attempt, {}, CrashedUpstreams(print), ProbedUpstreams()});
    return;
  }
  const auto active = m_table.ActiveProbes(m_self);
  const bool elsewhere = std::any_of(active.begin(), active.end(), [&](const ProbeRecord& probe) {
    return probe.fingerprint == print;
  });
  const auto upstream = ProbeUpstream(event);
  if (elsewhere || m_probes.contains(print) || !upstream) {
    Refuse(event.attempt, RefuseReason::kProbedElsewhere, out);
    return;
  }
  m_probes[print] =
      Probe{event.attempt, 0, ProbeState::kIntent, *upstream, now + m_settings.spread};
  Publish(now, print, out);
}

void CrashLedger::DecideIntents(core::Instant now, Actions& out) {
  for (auto it = m_probes.begin(); it != m_probes.end();) {
    const Fingerprint print = it->first;
    Probe& probe = it->second;
    if (now < probe.due) {
      ++it;
      continue;
    }
    if (probe.state == ProbeState::kRunning) {
      probe.due = now + m_settings.probe_lifetime / 2;
      Publish(now, print, out);
      ++it;
      continue;
    }
    // Of two intents, the later decision sees the other intent, because it was published a spread
    // time before. Both may withdraw; none runs beside the other.
    const auto active = m_table.ActiveProbes(m_self);
    const bool conflict = std::any_of(active.begin(), active.end(), [&](const ProbeRecord& other) {
      return other.fingerprint == print || other.upstream == probe.upstream;
    });
    const bool quarantined = m_table.IsQuarantined(print);
    if (conflict || quarantined) {
      const core::AttemptId attempt = probe.attempt;
      Refuse(attempt, quarantined ? RefuseReason::kQuarantined : RefuseReason::kProbedElsewhere,
             out);
      probe.state = ProbeState::kEnded;
      Publish(now, print, out);
      it = m_probes.erase(it);
      continue;
    }
    probe.state = ProbeState::kRunning;
    probe.due = now + m_settings.probe_lifetime / 2;
    m_runs[probe.attempt] = Run{print, {}};
    Publish(now, print, out);
    out.push_back(AllowRun{probe.attempt, probe.upstream, {}, {}});
    ++it;
  }
}

void CrashLedger::Publish(core::Instant now, const Fingerprint& print, Actions& out) {
  Probe& probe = m_probes.at(print);
  probe.sequence = ++m_sequence;
  const ProbeRecord record{m_self,         print, m_incarnation, probe.sequence, probe.state,
                           probe.upstream, now};
  m_table.Merge(now, record);
  out.push_back(PublishProbe{record});
}

void CrashLedger::On(core::Instant now, const RunStarted& event, Actions& out) {
  const auto found = m_runs.find(event.attempt);
  if (found == m_runs.end()) return;
  found->second.upstream = event.upstream;
  AnnounceRunningSuspects(now, out);
}

void CrashLedger::On(core::Instant now, const RunEnded& event, Actions& out) {
  const auto found = m_runs.find(event.attempt);
  if (found != m_runs.end()) {
    const Fingerprint print = found->second.fingerprint;
    m_runs.erase(found);
    if (event.completed) Clear(now, print, out);
  }
  EndProbe(now, event.attempt, out);
}

void CrashLedger::EndProbe(core::Instant now, const core::AttemptId& attempt, Actions& out) {
  for (auto it = m_probes.begin(); it != m_probes.end(); ++it) {
    if (it->second.attempt != attempt) continue;
    it->second.state = ProbeState::kEnded;
    Publish(now, it->first, out);
    m_probes.erase(it);
    return;
  }
}

void CrashLedger::Clear(core::Instant now, const Fingerprint& print, Actions& out) {
  for (const CrashId& id : m_table.Uncleared(print)) {
    const CrashRecord cleared{id, m_table.crashes().at(id).time, {print}, {print}};
    m_table.Merge(now, cleared);
    out.push_back(PublishCrash{cleared});
  }
}

void CrashLedger::On(core::Instant now, const UpstreamFailed& event, Actions& out) {
  std::vector<core::AttemptId> broken;
  CrashRecord record{{event.upstream, event.incarnation}, now, {}, {}};
  const auto publish = [&] {
    m_table.Merge(now, record);
    out.push_back(PublishCrash{record});
    record.suspects.clear();
  };
  for (const auto& [attempt, run] : m_runs) {
    if (run.upstream != event.upstream) continue;
    broken.push_back(attempt);
    record.suspects.insert(run.fingerprint);
    if (record.suspects.size() == kMaxRecordSuspects) publish();
  }
  if (!record.suspects.empty()) publish();
  for (const core::AttemptId& attempt : broken) {
    m_runs.erase(attempt);
    EndProbe(now, attempt, out);
    out.push_back(HoldAnswer{attempt, now + m_settings.spread});
  }
  AnnounceRunningSuspects(now, out);
}

void CrashLedger::On(core::Instant now, const CrashRecordReceived& event, Actions& out) {
  m_table.Merge(now, event.record);
  AnnounceRunningSuspects(now, out);
}

void CrashLedger::AnnounceRunningSuspects(core::Instant now, Actions& out) {
  // A copy of a new suspect that already runs here counts as its probe, so that nobody starts
  // another one.
  for (const auto& [attempt, run] : m_runs) {
    if (run.upstream.empty() || m_probes.contains(run.fingerprint)) continue;
    if (!m_table.IsSuspect(run.fingerprint)) continue;
    m_probes[run.fingerprint] =
        Probe{attempt, 0, ProbeState::kRunning, run.upstream, now + m_settings.probe_lifetime / 2};
    Publish(now, run.fingerprint, out);
  }
}

void CrashLedger::On(core::Instant now, const ProbeRecordReceived& event, Actions& /*out*/) {
  if (event.record.entry != m_self) m_table.Merge(now, event.record);
}

void CrashLedger::On(core::Instant /*now*/, const QuarantineTick& /*event*/, Actions& /*out*/) {}

}  // namespace cornelrelay::quarantine
