#include "cornelrelay/relay/relay_process.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <utility>

#include "cornelrelay/core/error.h"
#include "cornelrelay/core/http_status.h"
#include "cornelrelay/relay/own_keys.h"
#include "cornelrelay/runtime/pause.h"
#include "cornelrelay/runtime/process_setup.h"
#include "cornelrelay/runtime/store_options.h"

namespace cornelrelay::relay {
namespace {

namespace asio = boost::asio;
using std::chrono::milliseconds;

/// The balancer asks once a second and takes a process out after two misses; then no new
/// connections come.
constexpr milliseconds kAnnounceTime{2'500};
/// Time that is left for the last answers when requests are ended at the limit of the shutdown.
constexpr milliseconds kLastAnswers{400};
constexpr milliseconds kDrainPoll{20};
/// Pause before a registration is written again whose answer was lost.
constexpr milliseconds kRegisterRetry{1'000};
/// Two round trips between data centres and a retransmission stay far below this.
constexpr milliseconds kConnectTimeout{250};
/// An upstream that does not announce how long it keeps an idle connection keeps it for less than a
/// second.
constexpr milliseconds kUnannouncedIdle{250};
/// The store stands in one data centre; a connection to it may need a retransmission.
constexpr milliseconds kStoreConnectTimeout{500};
/// An answer of the store that is later counts as lost.
constexpr milliseconds kStoreCallTimeout{1'000};
/// What a watch may take beyond its wait.
constexpr milliseconds kWatchAnswerTime{700};
/// Sockets for a request: caller, upstream, and one kept idle.
constexpr std::uint32_t kDescriptorsPerCaller = 3;
constexpr std::uint32_t kReservedDescriptors = 300;
/// Part of the memory that the bodies of requests in progress may take.
constexpr std::size_t kBodyMemoryDivisor = 4;

net::HttpServerLimits CallerLimitsOf(const routes::CallerLimits& limits,
                                     const settings::RelaySettings& settings) {
  net::HttpServerLimits server;
  server.head_bytes = static_cast<std::uint32_t>(limits.head_bytes);
  server.body_bytes = limits.body_bytes;
  server.head_timeout = std::chrono::duration_cast<milliseconds>(limits.head_timeout);
  server.idle_timeout = std::chrono::duration_cast<milliseconds>(limits.idle_timeout);
  server.write_timeout = server.idle_timeout;
  const std::uint32_t usable = std::max(settings.descriptors, 2 * kReservedDescriptors);
  server.connections = (usable - kReservedDescriptors) / kDescriptorsPerCaller;
  return server;
}

}  // namespace

RelayProcess::RelayProcess(asio::io_context& context, settings::RelaySettings settings,
                           const PlatformPorts& ports, telemetry::JsonLog& log, std::uint64_t seed)
    : m_context(context),
      m_settings(std::move(settings)),
      m_log(log),
      m_upstream_client(context,
                        {.connect_timeout = kConnectTimeout, .idle_time = kUnannouncedIdle}),
      m_store_client(context, {.connect_timeout = kStoreConnectTimeout}),
      m_store(std::make_shared<runtime::StoreLink>(
          context, m_clock, m_store_client, ports.store, m_settings.store,
          runtime::UnrepeatedCalls(m_settings.store_calls_per_second, kStoreCallTimeout,
                                   kFleetWatch + kWatchAnswerTime),
          seed + 1)),
      m_retries(m_settings.retries),
      m_peers(context, m_clock, m_store_client, m_settings.host, m_settings.peers, seed + 2, log,
              m_metrics,
              {[this](peers::PeerStatus& bulletin) { Fill(bulletin); }, [this] { OnPeers(); },
               [this](store::StoreRevision since) { return m_fleet.ItemsSince(since); },
               [this](const wire::ItemsTransfer& items) { m_fleet.Merge(items); }}),
      m_dispatch(context, m_clock, log, m_metrics, seed + 3,
                 [this] { m_peers.Step(peers::LocalLoadChanged{}); }),
      m_fleet(context, m_clock, *m_store, ports.fleet,
              {.reregistration_time = m_settings.lapsed_entry_return}, log, m_metrics, seed + 4,
              {[this](const routes::Configuration& c) { OnConfiguration(c); },
               [this] { m_dispatch.SetUpstreams(m_fleet.upstreams()); }, [this] { OnItems(); },
               [this](const store::ItemChange& item) { OnOwnItem(item); }}),
      m_gateway(
          RelayServices{context, m_clock, m_upstream_client, ports.callers, ports.upstreams,
                        m_dispatch, m_fleet.upstreams(), m_retries, m_metrics, log},
          m_fleet, m_settings.memory_bytes / kBodyMemoryDivisor,
          m_settings.host.value() + '-' + std::to_string(runtime::IncarnationAt(m_clock)) + '-',
          seed + 5),
      m_callers(context, m_settings.callers, CallerLimitsOf({}, m_settings), std::nullopt,
                [this](net::HttpRequest request, net::ResponseStream& response) {
                  return m_gateway.Serve(std::move(request), response);
                }),
      m_health(context, m_settings.health, net::HttpServerLimits{}, std::nullopt,
               [this](const net::HttpRequest&, net::ResponseStream& response) {
                 return ServeHealth(response);
               }),
      m_metrics_server(context, m_clock, m_settings.metrics, m_metrics),
      m_register_timer(context, m_clock, [this] { Register(); }) {}

void RelayProcess::Start() {
  m_callers.Start();
  m_health.Start();
  m_metrics_server.Start();
  m_peers.Start();
  m_fleet.Start();
  m_log.Info("relay_process_started", {{"callers", core::ToString(m_settings.callers)},
                                       {"peers", core::ToString(m_settings.peers)},
                                       {"store", core::ToString(m_settings.store)},
                                       {"data_centre", m_settings.data_centre}});
}

void RelayProcess::Reload(const settings::RelaySettings& settings) {
  m_log.SetLevel(settings.log_level);
  const bool restart_needed = settings.callers != m_settings.callers ||
                              settings.peers != m_settings.peers ||
                              settings.store != m_settings.store;
  m_log.Info("settings_reloaded", {{"log_level", telemetry::ToString(settings.log_level)},
                                   {"restart_needed", restart_needed}});
}

void RelayProcess::OnConfiguration(const routes::Configuration& configuration) {
  m_callers.SetLimits(CallerLimitsOf(configuration.limits, m_settings));
  m_dispatch.SetConfiguration(configuration);
  m_dispatch.SetUpstreams(m_fleet.upstreams());
}

void RelayProcess::OnItems() {
  m_peers.Step(peers::LocalItemsChanged{m_fleet.revision(), m_fleet.linked()});
  m_fleet.SetStoreHeard(m_fleet.linked() || m_peers.table().AnyConnectedToStore());
  Register();
}

void RelayProcess::OnOwnItem(const store::ItemChange& item) {
  const auto host = HostOfEntryProcessKey(item.key);
  if (!host) return;
  if (*host == m_settings.host) {
    m_own_revision = item.value ? item.revision : 0;
    m_own_value = item.value.value_or("");
    return;
  }
  if (!item.value) {
    m_peers.Step(peers::PeerUnregistered{*host});
    return;
  }
  try {
    m_peers.Step(peers::PeerRegistered{*host, core::ParseEndpoint(*item.value)});
  } catch (const core::Error& error) {
    m_log.Warning("item_unreadable", {{"key", item.key}, {"reason", error.what()}});
  }
}

// The registration tells the own endpoint to processes that have not heard from this one. It stays
// when the process ends, since a restart has the same endpoint.
void RelayProcess::Register() {
  const std::string value = core::ToString(m_settings.peers);
  if (!m_fleet.complete() || !m_fleet.linked() || m_registering || m_own_value == value) return;
  m_registering = true;
  store::CompareAndSwap write;
  write.key = EntryProcessKey(m_settings.host);
  write.expected = m_own_revision;
  write.value = value;
  m_store->Call(write, [this](const store::StoreReply& reply) {
    m_registering = false;
    // The feed shows the written item, also when the answer was lost.
    m_log.Info("registration_written", {{"reply", KindName(reply)}});
    m_register_timer.SetAt(m_clock.Now() + kRegisterRetry);
  });
}

void RelayProcess::OnPeers() {
  m_dispatch.SetPeers(m_peers.table());
  m_retries.SetProcesses(m_peers.table().live_count() + 1);
  m_fleet.SetStoreHeard(m_fleet.linked() || m_peers.table().AnyConnectedToStore());
}

void RelayProcess::Fill(peers::PeerStatus& bulletin) const {
  bulletin.items_revision = m_fleet.revision();
  bulletin.store_connected = m_fleet.linked() && m_fleet.complete();
  bulletin.loads = m_dispatch.Loads();
  bulletin.queues = m_dispatch.Queues();
}

bool RelayProcess::Ready() const {
  return !m_draining && m_fleet.table() != nullptr && m_fleet.upstreams().size() > 0;
}

asio::awaitable<void> RelayProcess::ServeHealth(net::ResponseStream& response) {
  const bool ready = Ready();
  if (std::exchange(m_was_ready, ready) != ready) {
    m_log.Info("readiness_changed", {{"ready", ready}, {"draining", m_draining}});
  }
  net::HttpResponse answer;
  if (!ready) answer.status = core::kStatusUnavailable;
  co_await response.SendWhole(std::move(answer));
}

void RelayProcess::Shutdown() {
  if (std::exchange(m_draining, true)) {
    m_log.Warning("shutdown_forced", {{"requests", m_gateway.active()}});
    m_gateway.EndAll();
    asio::post(m_context, [this] { m_context.stop(); });
    return;
  }
  m_log.Info("shutdown_started", {{"requests", m_gateway.active()}});
  asio::co_spawn(
      m_context, [this] { return DrainAndStop(); }, asio::detached);
}

asio::awaitable<void> RelayProcess::DrainAndStop() {
  const core::Instant started = m_clock.Now();
  const core::Instant limit = started + m_settings.shutdown_limit - 2 * kLastAnswers;
  m_callers.AnnounceClosing();
  co_await runtime::Pause(m_context, kAnnounceTime);
  m_callers.StopAccepting();
  while (m_clock.Now() < limit) {
    if (m_gateway.active() == 0 && m_callers.ActiveExchanges() == 0) break;
    co_await runtime::Pause(m_context, kDrainPoll);
  }
  if (m_gateway.active() > 0) {
    m_log.Warning("shutdown_limit_passed", {{"requests", m_gateway.active()}});
    m_gateway.EndAll();
    co_await runtime::Pause(m_context, kLastAnswers);
  }
  m_log.Info("shutdown_finished", {{"elapsed_us", m_clock.Now() - started}});
  m_context.stop();
}

}  // namespace cornelrelay::relay
