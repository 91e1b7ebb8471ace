#pragma once

#include <chrono>
#include <cstddef>

#include "cornelrelay/core/time.h"

namespace cornelrelay::quarantine {

/// \brief Times and limits of a SuspectTable.
struct SuspectSettings {
  /// A crash counts for this long.
  core::Duration memory = std::chrono::hours(1);
  /// Time from a crash to the first trial of what it put in quarantine. Each further crash doubles
  /// it. Several times the 5 s that a group of ranks needs to form again after a crash.
  core::Duration trial_delay = std::chrono::seconds(30);
  /// Processes wait up to this share of the delay longer, each its own, so that not all of them
  /// make the trial at once.
  double trial_jitter = 0.5;
  /// Time from each crash to a trial if most requests since then had the suspect. To hold them back
  /// for longer costs more than one more crash, after which a group of ranks forms again in 5 s.
  core::Duration majority_trial_delay = std::chrono::seconds(5);
  /// Fewer requests with the suspect do not show that most have it.
  std::size_t majority_requests = 3;
  /// A suspect gets no further trial after this many crashes.
  std::size_t max_crashes = 4;
  /// A trial without output or crash is over after this time, the longest that callers wait.
  core::Duration trial_time = std::chrono::seconds(10);
  /// Trials of requests that lack a segment which may have caused the crash begin within this time
  /// after it. Each process waits another share of it, so that in a large fleet a few processes
  /// find the sound segments before the others try.
  core::Duration partial_trial_window = std::chrono::seconds(3);
  /// Such a trial is over after this time. Another one follows, as the first may have met an
  /// upstream that is not back yet.
  core::Duration partial_trial_time = std::chrono::seconds(1);
  /// A suspect that is not quarantined is reported for this long after its last crash, or after
  /// output ended its quarantine.
  core::Duration report_time = std::chrono::minutes(1);
  /// Number of features with output that are remembered, 40 bytes each.
  std::size_t max_known_features = 20'000;
  /// Number of suspects that are remembered: the requests without output of some 20 crashes.
  std::size_t max_suspects = 256;
  /// Number of suspects in the reports, some 30 bytes each: quarantined ones, then the latest.
  std::size_t max_reports = 32;

  friend bool operator==(const SuspectSettings&, const SuspectSettings&) = default;
};

}  // namespace cornelrelay::quarantine
