#include "cornelrelay/agent/agent_process.h"

#include <boost/asio/co_spawn.hpp>
#include <nlohmann/json.hpp>
#include <string>
#include <utility>

#include "cornelrelay/core/error.h"
#include "cornelrelay/gossip/state_dump.h"
#include "cornelrelay/net/rethrow_failure.h"
#include "cornelrelay/runtime/pause.h"
#include "cornelrelay/runtime/process_setup.h"

namespace cornelrelay::agent {
namespace {

namespace asio = boost::asio;

constexpr std::chrono::milliseconds kLoadTimeout{1000};
/// Entry processes must have stopped sending new work before the upstream counts as idle.
constexpr std::chrono::seconds kNoticeTime{3};
/// Time for the gossip of the leave notice after the last work.
constexpr std::chrono::seconds kLeaveTime{2};
constexpr std::chrono::milliseconds kDrainPoll{100};

}  // namespace

AgentProcess::AgentProcess(asio::io_context& context, settings::AgentSettings settings,
                           telemetry::JsonLog& log, std::uint64_t seed)
    : m_context(context),
      m_settings(std::move(settings)),
      m_log(log),
      m_client(context, net::HttpClientLimits{}),
      m_control(
          context, m_clock,
          runtime::ToNodeSettings(m_settings.common, gossip::Role::kAgent,
                                  runtime::IncarnationAt(m_clock)),
          runtime::ToMacKey(m_settings.common.control_key),
          [](const core::HostId&, const wire::ControlMessage&) {}, [](const gossip::Record&) {}),
      m_host_list(context, m_client, m_settings.common.host_list, seed,
                  [this](std::vector<gossip::HostListEntry> hosts) {
                    m_control.Step(gossip::HostListReceived{std::move(hosts)});
                  }) {}

void AgentProcess::Start() {
  m_control.Start();
  m_host_list.Start();
  asio::co_spawn(
      m_context, [this] { return PollLoop(); }, net::RethrowFailure{});
  m_log.Info("agent_started", {{"upstream", m_settings.upstream},
                               {"endpoint", core::ToString(m_settings.upstream_endpoint)}});
}

asio::awaitable<void> AgentProcess::PollLoop() {
  while (true) {
    co_await Poll();
    co_await runtime::Pause(m_context, m_settings.poll_interval);
  }
}

asio::awaitable<void> AgentProcess::Poll() {
  net::HttpRequest request;
  request.method = "GET";
  request.target = "/load";
  try {
    const net::HttpResponse response =
        co_await m_client.Fetch(m_settings.upstream_endpoint, std::move(request), kLoadTimeout);
    m_load = ParseLoadReport(response.body);
    Publish();
  } catch (const core::Error& error) {
    // The last report ages at the receivers; they judge the upstream by their own results.
    ++m_failed_polls;
    m_load.reset();
    m_log.Debug("load_poll_failed", {{"reason", error.code()}});
  }
}

void AgentProcess::Publish() {
  gossip::UpstreamStatus status;
  status.service = m_settings.service;
  status.data_centre = m_settings.common.data_centre;
  status.endpoint = m_settings.upstream_endpoint;
  status.load = Quantise(*m_load);
  status.draining = m_leaving;
  m_control.Step(gossip::PublishStatus{m_settings.upstream, status});
}

void AgentProcess::Shutdown() {
  if (std::exchange(m_leaving, true)) {
    m_log.Warning("shutdown_forced", {{"upstream", m_settings.upstream}});
    m_context.stop();
    return;
  }
  m_log.Info("upstream_leaving", {{"upstream", m_settings.upstream}});
  m_control.Step(gossip::AnnounceLeaving{m_settings.upstream});
  asio::co_spawn(
      m_context, [this] { return DrainAndStop(); }, net::RethrowFailure{});
}

asio::awaitable<void> AgentProcess::DrainAndStop() {
  const auto limit = m_clock.Now() + m_settings.common.shutdown_limit;
  co_await runtime::Pause(m_context, kNoticeTime);
  // An upstream that does not answer any more has no work to wait for.
  while (m_load && !m_load->Idle() && m_clock.Now() < limit) {
    co_await runtime::Pause(m_context, kDrainPoll);
  }
  m_control.Step(gossip::Leave{});
  co_await runtime::Pause(m_context, kLeaveTime);
  m_log.Info("shutdown_finished", {{"upstream", m_settings.upstream}});
  m_context.stop();
}

nlohmann::json AgentProcess::Dump() const {
  nlohmann::json load;
  if (m_load) load = {{"running", m_load->running}, {"waiting", m_load->waiting}};
  return {{"upstream", m_settings.upstream.value()},
          {"leaving", m_leaving},
          {"load", load},
          {"failed_polls", m_failed_polls},
          {"datagrams_rejected", m_control.counters().rejected},
          {"gossip", gossip::ToJson(m_control.node(), m_clock.Now())}};
}

}  // namespace cornelrelay::agent
