#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <deque>
#include <functional>
#include <map>
#include <nlohmann/json_fwd.hpp>
#include <utility>

#include "cornelrelay/entry/crash_port.h"
#include "cornelrelay/gossip/crash_note.h"
#include "cornelrelay/net/http_client.h"
#include "cornelrelay/quarantine/crash_ledger.h"
#include "cornelrelay/runtime/control_plane.h"
#include "cornelrelay/runtime/process_clock.h"
#include "cornelrelay/runtime/wake_timer.h"
#include "cornelrelay/telemetry/json_log.h"

namespace cornelrelay::entry {

/// \brief Runs the CrashLedger of a process and spreads its records by gossip.
///
/// An upstream counts as dead when it refuses a new connection after it broke one.
/// \code
/// CrashHub crashes(context, clock, client, control, log, host, incarnation);
/// crashes.Receive(note);
/// \endcode
class CrashHub : public CrashPort {
 public:
  CrashHub(boost::asio::io_context& context, const runtime::ProcessClock& clock,
           net::HttpClient& client, runtime::ControlPlane& control, telemetry::JsonLog& log,
           core::HostId self, std::uint64_t incarnation);

  bool IsSuspect(const quarantine::Fingerprint& fingerprint) const override;
  void Request(const RunOrder& order, Allowed allowed, Refused refused) override;
  void Started(const core::AttemptId& run, const core::UpstreamId& upstream) override;
  void Ended(const core::AttemptId& run, bool completed) override;
  void Broken(const core::AttemptId& run, const core::UpstreamId& upstream,
              const core::Endpoint& endpoint, std::function<void()> done) override;

  void Receive(const gossip::CrashNote& note);
  nlohmann::json Dump() const;

 private:
  struct Waiting {
    Allowed allowed;
    Refused refused;
  };

  void Step(const quarantine::LedgerEvent& event);
  void Perform(const quarantine::AllowRun& action);
  void Perform(const quarantine::RefuseRun& action);
  void Perform(const quarantine::HoldAnswer& action);
  void Perform(const quarantine::PublishCrash& action);
  void Perform(const quarantine::PublishProbe& action);
  boost::asio::awaitable<void> Examine(core::AttemptId run, core::UpstreamId upstream,
                                       core::Endpoint endpoint, std::function<void()> done);
  boost::asio::awaitable<bool> RefusesConnections(core::Endpoint endpoint);
  void ReportFailure(const core::UpstreamId& upstream);

  boost::asio::io_context& m_context;
  const runtime::ProcessClock& m_clock;
  net::HttpClient& m_client;
  runtime::ControlPlane& m_control;
  telemetry::JsonLog& m_log;
  quarantine::CrashLedger m_ledger;
  std::map<core::AttemptId, Waiting> m_waiting;
  std::map<core::AttemptId, core::Instant> m_holds;
  std::deque<std::pair<core::Instant, core::UpstreamId>> m_recent_failures;
  runtime::WakeTimer m_timer;
};

}  // namespace cornelrelay::entry
