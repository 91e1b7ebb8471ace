#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <nlohmann/json_fwd.hpp>
#include <optional>

#include "cornelrelay/agent/load_report.h"
#include "cornelrelay/net/http_client.h"
#include "cornelrelay/runtime/control_plane.h"
#include "cornelrelay/runtime/host_list_poller.h"
#include "cornelrelay/runtime/process_clock.h"
#include "cornelrelay/settings/agent_settings.h"
#include "cornelrelay/telemetry/json_log.h"

namespace cornelrelay::agent {

/// \brief The process beside one upstream: polls its load, reports it, and announces leaving.
///
/// \code
/// AgentProcess process(context, settings, log, seed);
/// process.Start();
/// context.run();
/// \endcode
class AgentProcess {
 public:
  AgentProcess(boost::asio::io_context& context, settings::AgentSettings settings,
               telemetry::JsonLog& log, std::uint64_t seed);

  void Start();

  /// \brief Announces that the upstream leaves and ends when its work is done; a second call ends
  /// at once.
  void Shutdown();

  nlohmann::json Dump() const;

 private:
  boost::asio::awaitable<void> PollLoop();
  boost::asio::awaitable<void> Poll();
  boost::asio::awaitable<void> DrainAndStop();
  void Publish();

  boost::asio::io_context& m_context;
  settings::AgentSettings m_settings;
  telemetry::JsonLog& m_log;
  runtime::ProcessClock m_clock;
  net::HttpClient m_client;
  runtime::ControlPlane m_control;
  runtime::HostListPoller m_host_list;
  std::optional<LoadReport> m_load;
  std::uint64_t m_failed_polls = 0;
  bool m_leaving = false;
};

}  // namespace cornelrelay::agent
