#pragma once

#include <functional>
#include <set>
#include <vector>

#include "cornelrelay/core/endpoint.h"
#include "cornelrelay/core/ids.h"
#include "cornelrelay/quarantine/fingerprint.h"
#include "cornelrelay/quarantine/ledger_events.h"

namespace cornelrelay::entry {

/// \brief One wish to send a request to an upstream; `run` is unique within the process.
struct RunOrder {
  core::AttemptId run;
  quarantine::Fingerprint fingerprint;
  std::vector<core::UpstreamId> candidates;  ///< in order of preference
};

/// \brief The crash ledger as a request task sees it.
class CrashPort {
 public:
  using Allowed = std::function<void(const quarantine::AllowRun&)>;
  using Refused = std::function<void(const quarantine::RefuseRun&)>;

  virtual ~CrashPort() = default;

  /// \brief Whether the request was running where an upstream crashed and is not cleared.
  virtual bool IsSuspect(const quarantine::Fingerprint& fingerprint) const = 0;

  /// \brief Calls one of the functions, at once for a request that is no suspect.
  virtual void Request(const RunOrder& order, Allowed allowed, Refused refused) = 0;
  virtual void Started(const core::AttemptId& run, const core::UpstreamId& upstream) = 0;

  /// \brief The run ended without a crash, or was never started.
  virtual void Ended(const core::AttemptId& run, bool completed) = 0;

  /// \brief The connection broke after bytes were sent. Calls `done` when the request may be
  /// answered or sent again: later, if its upstream has died.
  virtual void Broken(const core::AttemptId& run, const core::UpstreamId& upstream,
                      const core::Endpoint& endpoint, std::function<void()> done) = 0;
};

}  // namespace cornelrelay::entry
