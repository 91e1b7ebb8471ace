#pragma once

#include <map>
#include <set>
#include <vector>

#include "cornelrelay/quarantine/crash_record.h"
#include "cornelrelay/quarantine/probe_record.h"
#include "cornelrelay/quarantine/quarantine_settings.h"

namespace cornelrelay::quarantine {

/// \brief Crash and probe records of the whole deployment, as far as they have spread. A lattice:
/// the order and repetition of merges do not matter.
///
/// \code
/// table.Merge(record);
/// if (table.IsQuarantined(print)) ...
/// \endcode
class CrashTable {
 public:
  explicit CrashTable(QuarantineSettings settings) : m_settings(settings) {}

  void Merge(core::Instant now, const CrashRecord& record);
  void Merge(core::Instant now, const ProbeRecord& record);

  /// \brief Forgets crashes over an hour old and probes that were not refreshed.
  void Expire(core::Instant now);

  /// \brief True after uncleared crashes on two distinct upstreams.
  bool IsQuarantined(const Fingerprint& print) const;

  /// \brief Crashes with the request among the suspects that no completion has cleared.
  std::vector<CrashId> Uncleared(const Fingerprint& print) const;

  /// \brief True while an uncleared crash is not explained by a quarantined co-suspect.
  ///
  /// An explained crash still counts towards IsQuarantined() until the request completes: the
  /// co-suspect may have been convicted wrongly, and the real cause must not get a third upstream.
  bool IsSuspect(const Fingerprint& print) const;

  /// \brief Probes by others that are running or intended.
  std::vector<ProbeRecord> ActiveProbes(const core::HostId& except) const;

  const std::map<CrashId, CrashRecord>& crashes() const { return m_crashes; }
  const std::map<ProbeId, ProbeRecord>& probes() const { return m_probes; }

 private:
  QuarantineSettings m_settings;
  std::map<CrashId, CrashRecord> m_crashes;
  /// Finds the crashes of a request without a scan of all records.
  std::map<Fingerprint, std::set<CrashId>> m_by_print;
  std::map<ProbeId, ProbeRecord> m_probes;
};

}  // namespace cornelrelay::quarantine
