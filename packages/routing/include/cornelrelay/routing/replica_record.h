#pragma once

#include <cstddef>
#include <deque>
#include <map>
#include <optional>

#include "cornelrelay/routing/replica_status.h"
#include "cornelrelay/routing/route_query.h"
#include "cornelrelay/routing/router_action.h"

namespace cornelrelay::routing::internal {

/// \brief An attempt of this router in flight.
struct Attempt {
  core::UpstreamId replica;
  core::Instant sent_at;
  /// Expected work units before the first token: the request's prompt and the requests queued
  /// ahead.
  double work_before_first_token = 0;
  double request_work = 0;  ///< part of `work_before_first_token` that the request itself adds
  std::optional<core::Instant> first_token_at;
  core::Instant last_sample_at{};  ///< end of the last sample of the token rate
  double last_sample_tokens = 0;   ///< tokens received by `last_sample_at`
};

/// \brief Load that this router put on a replica, as of one time.
///
/// A load report covers all entry processes and arrives late. Subtracting this router's load as of
/// the measurement leaves the load of the others.
struct OwnLoad {
  core::Instant at;
  double outstanding = 0;
  double pending_work = 0;
};

/// \brief State that the router keeps for one replica.
struct ReplicaRecord {
  ReplicaStatus status;
  bool present = true;                   ///< listed in the last ReplicaSetUpdated
  std::optional<core::Instant> lost_at;  ///< since when it has been reported dead or missing
  bool kept = false;                     ///< still used, because many replicas were lost at once

  // Exponentially weighted means over the results of this router; zero means no result yet.
  double ttft_us = 0;  ///< time to first token (TTFT) without the round trip
  /// Work units before the first token; `ttft_us` divided by this is the time per unit.
  double ttft_work = 0;
  double time_per_token_us = 0;  ///< per output token
  double holding_time_us = 0;    ///< from the first token to the end of the response
  std::size_t results = 0;       ///< number of first tokens received

  ReplicaPhase phase = ReplicaPhase::kSteady;
  core::Instant phase_since{};
  std::size_t consecutive_failures = 0;
  core::Instant next_probe{};  ///< earliest time of the next probe

  // Load of this router's attempts in flight.
  /// Expected times of the first tokens that have not arrived yet.
  std::map<core::AttemptId, core::Instant> first_token_due;
  double outstanding = 0;   ///< attempts in flight
  double pending_work = 0;  ///< work units of attempts without a first token
  std::deque<OwnLoad> own_load_history;

  // Load of the other entry processes, derived from the last report.
  double others_outstanding = 0;
  double others_pending_work = 0;
  std::optional<core::Instant> report_measured_at;  ///< measurement time of the last report
};

}  // namespace cornelrelay::routing::internal
