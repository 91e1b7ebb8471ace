#pragma once

#include <cstddef>
#include <deque>
#include <map>
#include <optional>

#include "cornelrelay/routing/replica_status.h"
#include "cornelrelay/routing/route_query.h"
#include "cornelrelay/routing/router_action.h"

namespace cornelrelay::routing::internal {

/// \brief An own attempt in flight.
struct Attempt {
  core::UpstreamId replica;
  core::Instant sent;
  double work = 0;      ///< work before the first token: its own and the backlog ahead of it
  double own_work = 0;  ///< the own part of `work`
  std::optional<core::Instant> first_token;
  core::Instant marked_at{};  ///< end of the last token rate sample
  double marked_output = 0;   ///< tokens received by then
};

/// \brief Own load on a replica at one time; needed to subtract it from a late report.
struct OwnLoad {
  core::Instant at;
  double outstanding = 0;
  double pending_work = 0;
};

/// \brief All that the router knows about one replica.
struct ReplicaRecord {
  ReplicaStatus status;
  bool present = true;
  std::optional<core::Instant> lost_at;  ///< since when the records call it dead or leave it out
  bool kept = false;                     ///< lost with many others at once, so still used

  // Running means of own results; zero means no result yet.
  double first_time = 0;  ///< microseconds to the first token, without the round trip
  double first_work = 0;  ///< work units before it; time over work is the time per unit
  double token_time = 0;  ///< microseconds per output token
  double hold_time = 0;   ///< microseconds from first token to end
  std::size_t results = 0;

  ReplicaPhase phase = ReplicaPhase::kSteady;
  core::Instant phase_since{};
  std::size_t consecutive_failures = 0;
  core::Instant next_probe{};

  std::map<core::AttemptId, core::Instant>
      due;  ///< own attempts without a first token: when it was expected
  double outstanding = 0;
  double pending_work = 0;
  std::deque<OwnLoad> own_loads;

  // Load of the other entry processes, from the last report.
  double others_outstanding = 0;
  double others_pending = 0;
  std::optional<core::Instant> reported_at;
};

}  // namespace cornelrelay::routing::internal
