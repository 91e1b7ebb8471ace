#pragma once

#include <chrono>
#include <optional>
#include <string>
#include <vector>

#include "cornelrelay/core/execution.h"
#include "cornelrelay/core/ids.h"
#include "cornelrelay/core/time.h"

namespace cornelrelay::telemetry {

/// \brief One replica that was considered, with its score or the reason of its exclusion.
struct CandidateRecord {
  core::UpstreamId upstream;
  std::optional<double> score_seconds;  ///< expected time to first token; lower is better
  std::string exclusion;                ///< empty if it was not excluded

  friend bool operator==(const CandidateRecord&, const CandidateRecord&) = default;
};

/// \brief One attempt; `result` is e.g. `completed`, `connect_failed` or `broken`.
struct AttemptRecord {
  core::AttemptId attempt;
  core::UpstreamId upstream;
  std::string result;

  friend bool operator==(const AttemptRecord&, const AttemptRecord&) = default;
};

/// \brief What was decided for one request and why, for `/explain/<request id>`.
struct DecisionRecord {
  std::chrono::sys_time<std::chrono::milliseconds> time;
  core::RequestId request;
  core::ClientAccountId account;
  core::ServiceId service;
  std::vector<CandidateRecord> candidates;
  std::vector<AttemptRecord> attempts;
  std::string outcome;  ///< `completed` or the type of the error that the caller received
  core::Execution execution = core::Execution::kUnknown;
  core::Duration elapsed{};

  friend bool operator==(const DecisionRecord&, const DecisionRecord&) = default;
};

}  // namespace cornelrelay::telemetry
