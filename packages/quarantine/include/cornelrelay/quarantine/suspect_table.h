#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <vector>

#include "cornelrelay/core/ids.h"
#include "cornelrelay/core/time.h"
#include "cornelrelay/quarantine/request_features.h"
#include "cornelrelay/quarantine/suspect_events.h"
#include "cornelrelay/quarantine/suspect_report.h"
#include "cornelrelay/quarantine/suspect_settings.h"

namespace cornelrelay::quarantine {

/// \brief Finds what the requests that crash upstreams have in common, and holds back other
/// requests that have it.
///
/// A feature is a suspect if a request with it was running, without output, on an upstream that
/// crashed, and no request with it has ever given output in any entry process. A segment is
/// quarantined after one crash of an upstream that had begun to answer, or two crashes of upstreams
/// that may not have begun. A request is quarantined after two crashes: unlike most segments it is
/// new whenever it comes for the first time, so one crash may be chance. Output clears a feature.
/// Requests with a quarantined one are held back, but for one trial at a time, each after twice the
/// time of the one before.
///
/// Segments that were lost in the same crashes cannot be told apart: one of them is the cause. If a
/// request has only some of them, the others explain the crashes as well. Upstreams also crash for
/// other reasons. So if the crashes without such an explanation would not quarantine the suspect, a
/// trial of the request is made within seconds, and requests like it that are already running go
/// on. Once a suspect has its last crash, such trials end unless all of its crashes are alike.
///
/// A suspect that most requests have gets its trials sooner, too: holding them back would leave the
/// service with little to do.
///
/// CrashLedger serves deployments with idempotency keys and gossip: it announces each further run
/// of a request that was lost in a crash, and waits for the announcement to spread. This class
/// needs no waits, and finds what different requests share.
///
/// \code
/// SuspectTable table(settings, seed);
/// for (const SuspectAction& a : table.Step(now, RequestLostInCrash{...})) Perform(a);
/// if (const auto retry_after = table.HoldBack(now, request, features)) Refuse(*retry_after);
/// \endcode
class SuspectTable {
 public:
  SuspectTable(SuspectSettings settings, std::uint64_t seed);

  std::vector<SuspectAction> Step(core::Instant now, const SuspectEvent& event);

  /// \brief Returns nothing if the request may run, otherwise the time after which one like it may
  /// run as a trial.
  /// \param request may be asked about more than once; if it is the trial, it stays so
  std::optional<core::Duration> HoldBack(core::Instant now, const core::RequestId& request,
                                         const RequestFeatures& features);

  /// \brief Whether a request without output that was let run before may go on. One that waits for
  /// an upstream is asked about with HoldBack() again once it has one.
  bool MayGoOn(const core::RequestId& request, const RequestFeatures& features) const;

  /// \brief Whether one more crash could quarantine a feature of the request.
  bool IsNextCrashDecisive(const RequestFeatures& features) const;

  /// \brief What this process knows about the suspects that the others must know of.
  std::vector<SuspectReport> Reports(core::Instant now) const;

  std::size_t quarantined_count() const { return m_quarantined.size(); }
  /// \brief Number of requests that HoldBack() has let run as a trial.
  std::uint64_t trial_count() const { return m_trial_count; }

 private:
  struct Crash {
    core::Instant time;
    bool answer_begun = false;
  };
  struct Suspect {
    std::map<std::uint64_t, Crash> crashes;
    std::optional<core::RequestId> trial;
    core::Instant trial_end{};
    core::Instant cleared{};                ///< when output last ended its quarantine
    std::uint64_t requests = 0;             ///< with it, since its last crash
    std::uint64_t all_requests_before = 0;  ///< m_request_count at its last crash
  };
  using Actions = std::vector<SuspectAction>;

  void Apply(core::Instant now, const OutputContinued& event, Actions& out);
  void Apply(core::Instant now, const RequestLostInCrash& event, Actions& out);
  void Apply(core::Instant now, const SuspectsReported& event, Actions& out);

  /// \brief Adds a crash. Returns whether it is new.
  bool AddCrash(Fingerprint suspect, std::uint64_t crash, const Crash& seen);
  /// \brief Drops crashes of features that have too many. Keeps those with the fewest suspects, as
  /// they tell the suspects apart.
  void LimitCrashes(const std::vector<Fingerprint>& features);
  /// \brief Forgets a suspect that is not quarantined if the table is full. Returns whether there
  /// is room.
  bool MakeRoom();
  void RememberOutput(Fingerprint feature, core::Instant at);
  bool IsQuarantined(Fingerprint feature) const { return m_quarantined.contains(feature); }
  void UpdateQuarantine(core::Instant now, Fingerprint feature, Actions& out);
  /// \brief Counts a request and those of its features that are quarantined, for HoldsBackMost().
  void CountRequest(const RequestFeatures& features);
  /// \brief Whether most requests since the last crash of the suspect had it.
  bool HoldsBackMost(const Suspect& suspect) const;
  /// \brief Whether features that the request does not have may have caused the crashes of the
  /// suspect, but for so few that they would not quarantine it, and its trials have not failed too
  /// often.
  bool IsExplainedWithout(const Suspect& suspect, const RequestFeatures& features) const;
  /// \brief Whether the request has a segment that is not in quarantine and has given no output. If
  /// its trial failed, that segment might be the cause.
  bool HasUntriedSegment(const RequestFeatures& features) const;
  /// \brief Whether a crash in which two features were lost may have been caused by the other one.
  bool MayExplain(Fingerprint other, const Crash& its_loss, const Crash& loss) const;
  void Expire(core::Instant now, Actions& out);
  static std::size_t Weight(const Crash& crash);
  static core::Instant LastCrash(const Suspect& suspect);
  /// \brief When the request may run as a trial of the suspect; max() if it may not.
  core::Instant NextTrial(Fingerprint feature, const Suspect& suspect,
                          const RequestFeatures& features) const;
  /// \brief When a request that IsExplainedWithout() applies to may run as a trial.
  core::Instant NextPartialTrial(Fingerprint feature, const Suspect& suspect) const;
  /// \brief A share that differs between processes and features, from 0 to less than 1.
  double Jitter(Fingerprint feature) const;

  SuspectSettings m_settings;
  std::uint64_t m_seed;
  std::map<Fingerprint, Suspect> m_suspects;
  std::map<Fingerprint, core::Instant> m_outputs;  ///< last output of each feature
  std::set<Fingerprint> m_quarantined;
  std::uint64_t m_trial_count = 0;
  std::uint64_t m_request_count = 0;  ///< requests with segments that HoldBack() was asked about
};

}  // namespace cornelrelay::quarantine
