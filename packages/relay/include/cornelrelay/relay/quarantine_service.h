#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <vector>

#include "cornelrelay/core/ids.h"
#include "cornelrelay/core/time.h"
#include "cornelrelay/directory/upstream_directory.h"
#include "cornelrelay/quarantine/request_features.h"
#include "cornelrelay/quarantine/suspect_report.h"
#include "cornelrelay/quarantine/suspect_table.h"
#include "cornelrelay/relay/crash_probe.h"
#include "cornelrelay/runtime/process_clock.h"
#include "cornelrelay/telemetry/json_log.h"
#include "cornelrelay/telemetry/metric_registry.h"

namespace cornelrelay::relay {

/// \brief An attempt whose upstream ended the connection before it had gone on after the first
/// event.
struct LostAttempt {
  core::UpstreamId upstream;
  bool answer_begun = false;  ///< the head of the answer had arrived
  quarantine::RequestFeatures features;
};

/// \brief Finds out which upstreams have crashed, and runs a SuspectTable on what they were
/// running.
class QuarantineService {
 public:
  struct Callbacks {
    /// Called when the other processes have to learn of a crash.
    std::function<void()> on_reports_changed;
    /// Called when requests that are in progress may have to end.
    std::function<void()> on_quarantined;
  };

  QuarantineService(boost::asio::io_context& context, const runtime::ProcessClock& clock,
                    const CrashProbe& probe, const directory::UpstreamDirectory& directory,
                    std::uint64_t seed, telemetry::JsonLog& log, telemetry::MetricRegistry& metrics,
                    Callbacks callbacks);

  /// \brief Returns nothing if the request may run, otherwise the time after which one like it may.
  std::optional<core::Duration> HoldBack(const core::RequestId& request,
                                         const quarantine::RequestFeatures& features);

  /// \brief Whether a request without output that was let run before may go on. One that waits for
  /// an upstream is asked about with HoldBack() again once it has one.
  bool MayGoOn(const core::RequestId& request, const quarantine::RequestFeatures& features) const;

  void RecordOutput(const quarantine::RequestFeatures& features);

  /// \brief Finds out whether the upstream of the attempt has crashed.
  /// \returns whether a retry has to wait for the result; if so, `on_done` is called with it
  bool Examine(const LostAttempt& attempt, std::function<void()> on_done);

  void Merge(const std::vector<quarantine::SuspectReport>& reports);
  std::vector<quarantine::SuspectReport> Reports() const;

 private:
  boost::asio::awaitable<void> ExamineUpstream(LostAttempt attempt, std::uint64_t incarnation,
                                               std::function<void()> on_done);
  void Step(const quarantine::SuspectEvent& event);
  void Perform(const quarantine::SuspectQuarantined& action);
  void Perform(const quarantine::SuspectCleared& action);
  void Perform(const quarantine::SuspectsChanged& action);

  boost::asio::io_context& m_context;
  const runtime::ProcessClock& m_clock;
  const CrashProbe& m_probe;
  const directory::UpstreamDirectory& m_directory;
  telemetry::JsonLog& m_log;
  telemetry::MetricRegistry& m_metrics;
  Callbacks m_callbacks;
  quarantine::SuspectTable m_table;
};

}  // namespace cornelrelay::relay
