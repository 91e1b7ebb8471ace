#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <vector>

#include "cornelrelay/core/ids.h"
#include "cornelrelay/core/time.h"
#include "cornelrelay/quarantine/crash_table.h"
#include "cornelrelay/quarantine/ledger_events.h"
#include "cornelrelay/quarantine/quarantine_settings.h"

namespace cornelrelay::quarantine {

/// \brief Finds requests that crash upstreams and refuses them after two crashes within an hour.
///
/// A request that was running on a failed upstream is a suspect. It runs again on one other
/// upstream, alone among suspects, after an announced intent has had time to spread. Completion
/// clears it; a second crash convicts it and clears the others. This bounds a crashing request to
/// two upstreams while records spread within the spread time. Without that (a network partition, an
/// entry process that dies together with the upstream, a caller that sends copies before the first
/// crash) each isolated part can lose one more upstream.
///
/// \code
/// CrashLedger ledger(host, incarnation, settings);
/// for (const LedgerAction& a : ledger.Step(now, RunRequested{attempt, print, candidates}))
/// Perform(a); \endcode
class CrashLedger {
 public:
  CrashLedger(core::HostId self, std::uint64_t incarnation, QuarantineSettings settings);

  std::vector<LedgerAction> Step(core::Instant now, const LedgerEvent& event);

  /// \brief When the next QuarantineTick is due, if any.
  std::optional<core::Instant> NextTick() const;

  struct Run {
    Fingerprint fingerprint;
    core::UpstreamId upstream;
  };
  struct Probe {
    core::AttemptId attempt;
    std::uint64_t sequence = 0;
    ProbeState state = ProbeState::kIntent;
    core::UpstreamId upstream;
    core::Instant due;  ///< decision of an intent, next refresh of a running probe
  };

  const CrashTable& table() const { return m_table; }
  const std::map<core::AttemptId, Run>& runs() const { return m_runs; }
  const std::map<Fingerprint, Probe>& probes() const { return m_probes; }

 private:
  using Actions = std::vector<LedgerAction>;

  void On(core::Instant now, const RunRequested& event, Actions& out);
  void On(core::Instant now, const RunStarted& event, Actions& out);
  void On(core::Instant now, const RunEnded& event, Actions& out);
  void On(core::Instant now, const UpstreamFailed& event, Actions& out);
  void On(core::Instant now, const CrashRecordReceived& event, Actions& out);
  void On(core::Instant now, const ProbeRecordReceived& event, Actions& out);
  void On(core::Instant now, const QuarantineTick& event, Actions& out);

  void Refuse(const core::AttemptId& attempt, RefuseReason reason, Actions& out) const;
  std::set<core::UpstreamId> ProbedUpstreams() const;
  std::set<core::UpstreamId> CrashedUpstreams(const Fingerprint& print) const;
  std::optional<core::UpstreamId> ProbeUpstream(const RunRequested& event) const;
  void DecideIntents(core::Instant now, Actions& out);
  void Publish(core::Instant now, const Fingerprint& print, Actions& out);
  void EndProbe(core::Instant now, const core::AttemptId& attempt, Actions& out);
  void Clear(core::Instant now, const Fingerprint& print, Actions& out);
  void AnnounceRunningSuspects(core::Instant now, Actions& out);

  core::HostId m_self;
  std::uint64_t m_incarnation;
  QuarantineSettings m_settings;
  CrashTable m_table;
  std::uint64_t m_sequence = 0;
  std::map<core::AttemptId, Run> m_runs;
  std::map<Fingerprint, Probe> m_probes;
};

}  // namespace cornelrelay::quarantine
