#include "cornelrelay/relay/relay_process.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/post.hpp>
#include <utility>

#include "cornelrelay/core/error.h"
#include "cornelrelay/core/http_status.h"
#include "cornelrelay/net/rethrow_failure.h"
#include "cornelrelay/relay/internal_keys.h"
#include "cornelrelay/runtime/pause.h"
#include "cornelrelay/runtime/process_setup.h"
#include "cornelrelay/runtime/store_options.h"

namespace cornelrelay::relay {
namespace {

namespace asio = boost::asio;
using std::chrono::milliseconds;

/// How long a process that shuts down still accepts connections. The load balancer in front of it
/// checks its health once a second and sends no new connections after two failed checks.
constexpr milliseconds kDeregistrationDelay{2'500};
/// Time reserved for sending the error responses of requests that the shutdown limit ends.
constexpr milliseconds kFinalResponseTime{400};
constexpr milliseconds kDrainPollInterval{20};
/// Delay before an unconfirmed registration is written again, for example after a lost reply.
constexpr milliseconds kRegistrationRetryDelay{1'000};
/// Far more than two round trips between data centres and a retransmission.
constexpr milliseconds kConnectTimeout{250};
/// Used for upstreams that do not announce how long they keep an idle connection. These keep it for
/// less than a second.
constexpr milliseconds kDefaultIdleTimeout{250};
/// The store runs in one data centre only; connecting to it may need a retransmission.
constexpr milliseconds kStoreConnectTimeout{500};
/// A store reply that takes longer counts as lost.
constexpr milliseconds kStoreCallTimeout{1'000};
/// Time that the reply to a watch may take beyond the watch's own timeout.
constexpr milliseconds kWatchReplyMargin{700};
/// Sockets for each caller connection: the caller's, the upstream's and one idle connection.
constexpr std::uint32_t kDescriptorsPerCaller = 3;
constexpr std::uint32_t kReservedDescriptors = 300;
/// The bodies of the requests in progress may take the process's memory divided by this, and the
/// responses that are not sent yet as much again.
constexpr std::size_t kBodyMemoryDivisor = 4;

net::HttpServerLimits HttpServerLimitsOf(const routes::CallerLimits& limits,
                                         const settings::RelaySettings& settings) {
  net::HttpServerLimits server;
  server.head_bytes = static_cast<std::uint32_t>(limits.head_bytes);
  server.body_bytes = limits.body_bytes;
  server.head_timeout = std::chrono::duration_cast<milliseconds>(limits.head_timeout);
  server.idle_timeout = std::chrono::duration_cast<milliseconds>(limits.idle_timeout);
  server.write_timeout = server.idle_timeout;
  const std::uint32_t usable = std::max(settings.descriptors, 2 * kReservedDescriptors);
  server.connections = (usable - kReservedDescriptors) / kDescriptorsPerCaller;
  server.memory_bytes = settings.memory_bytes;
  server.connections_per_address = settings.caller_limits.connections_per_address;
  server.head_fields = settings.caller_limits.head_fields;
  server.min_body_rate = settings.caller_limits.min_body_rate;
  server.body_grace = std::chrono::duration_cast<milliseconds>(settings.caller_limits.body_grace);
  return server;
}

}  // namespace

RelayProcess::RelayProcess(asio::io_context& context, settings::RelaySettings settings,
                           const PlatformPorts& ports, telemetry::JsonLog& log, std::uint64_t seed)
    : m_context(context),
      m_settings(std::move(settings)),
      m_log(log),
      m_upstream_client(context,
                        {.connect_timeout = kConnectTimeout, .idle_time = kDefaultIdleTimeout}),
      m_store_client(context, {.connect_timeout = kStoreConnectTimeout}),
      m_store(std::make_shared<runtime::StoreLink>(
          context, m_clock, m_store_client, ports.store, m_settings.store,
          runtime::UnrepeatedCalls(m_settings.store_calls_per_second, kStoreCallTimeout,
                                   kFleetWatchTimeout + kWatchReplyMargin),
          seed + 1)),
      m_retries(m_settings.retries),
      m_peers(context, m_clock, m_store_client, m_settings.host, m_settings.data_centre,
              m_settings.peers, seed + 2, log, m_metrics,
              {[this](peers::PeerStatus& status) { FillStatus(status); }, [this] { OnPeers(); },
               [this](store::StoreVersion since, std::uint64_t configuration) {
                 return m_fleet.ItemsSince(since, configuration);
               },
               [this](const wire::ItemsTransfer& items) { m_fleet.Merge(items); },
               [this](const peers::PeerStatus& status) { m_quarantine.Merge(status.suspects); }}),
      m_dispatchers(context, m_clock, log, m_metrics, m_settings.host, seed + 3,
                    [this] { m_peers.Step(peers::LocalLoadChanged{}); }),
      m_fleet(context, m_clock, *m_store, ports.fleet,
              {.reregistration_time = m_settings.lapsed_entry_return}, log, m_metrics, seed + 4,
              {[this](const routes::Configuration& c) { OnConfiguration(c); },
               [this] { m_dispatchers.SetUpstreams(m_fleet.upstreams()); },
               [this] { OnItemsChanged(); },
               [this](const store::ItemChange& item) { OnInternalItem(item); }}),
      m_crash_probe(context, m_upstream_client, m_fleet.upstreams()),
      m_pauses(context, m_clock),
      m_quarantine(context, m_clock, m_crash_probe, m_fleet.upstreams(), seed + 6, log, m_metrics,
                   {[this] { m_peers.Step(peers::LocalSuspectsChanged{}); },
                    [this] { m_gateway.EndQuarantined(); }}),
      m_gateway(
          RelayServices{
              context, m_clock, m_upstream_client, ports.callers, ports.upstreams, m_dispatchers,
              m_fleet.upstreams(),
              [this](const core::UpstreamId& upstream, std::uint64_t incarnation) {
                m_fleet.NoteLeaving(upstream, incarnation);
              },
              m_retries, m_crash_probe, m_pauses, m_quarantine, m_shutdown,
              std::make_shared<limits::ByteBudget>(m_settings.memory_bytes / kBodyMemoryDivisor),
              std::make_shared<limits::ByteBudget>(m_settings.memory_bytes / kBodyMemoryDivisor),
              m_metrics, log},
          m_fleet,
          m_settings.host.value() + '-' + std::to_string(runtime::IncarnationAt(m_clock)) + '-',
          seed + 5),
      m_caller_limit_log(m_clock, log, m_metrics),
      m_caller_server(context, m_settings.callers, HttpServerLimitsOf({}, m_settings), std::nullopt,
                      [this](net::HttpRequest request, net::ResponseStream& response) {
                        return m_gateway.Serve(std::move(request), response);
                      },
                      {[this](const net::HttpRequest& head) { return m_gateway.HasAccount(head); },
                       [this](net::CallerLimit limit) { m_caller_limit_log.Note(limit); }}),
      m_health_server(context, m_settings.health, net::HttpServerLimits{}, std::nullopt,
                      [this](const net::HttpRequest&, net::ResponseStream& response) {
                        return ServeHealth(response);
                      }),
      m_metrics_server(context, m_clock, m_settings.metrics, m_metrics),
      m_registration_timer(context, m_clock, [this] { RegisterEndpoint(); }) {}

void RelayProcess::Start() {
  m_caller_server.Start();
  m_health_server.Start();
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
  m_caller_server.SetLimits(HttpServerLimitsOf(configuration.limits, m_settings));
  m_dispatchers.SetConfiguration(configuration);
  m_dispatchers.SetUpstreams(m_fleet.upstreams());
}

void RelayProcess::OnItemsChanged() {
  m_peers.Step(peers::LocalItemsChanged{m_fleet.version(), m_fleet.configuration_version(),
                                        m_fleet.connected()});
  m_fleet.SetStoreReachable(m_fleet.connected() || m_peers.table().AnyConnectedToStore());
  RegisterEndpoint();
}

void RelayProcess::OnInternalItem(const store::ItemChange& item) {
  const auto host = HostOfEntryProcessKey(item.key);
  if (!host) return;
  if (*host == m_settings.host) {
    m_registration_revision = item.value ? item.revision : 0;
    m_registration = item.value.value_or("");
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

// The registration gives this process's endpoint to peers that have not received a status message
// from it. It is kept when the process ends, because the process has the same endpoint after a
// restart.
void RelayProcess::RegisterEndpoint() {
  const std::string value = core::ToString(m_settings.peers);
  if (!m_fleet.may_call_store() || m_registering || m_registration == value) return;
  m_registering = true;
  store::CompareAndSwap write;
  write.key = EntryProcessKey(m_settings.host);
  write.expected = m_registration_revision;
  write.value = value;
  m_store->Call(write, [this, value](const store::StoreReply& reply) {
    m_registering = false;
    // The written item is also seen with the other items, even if this reply was lost.
    if (const auto* swapped = std::get_if<store::Swapped>(&reply)) {
      m_registration_revision = swapped->revision;
      m_registration = value;
    }
    m_log.Info("registration_written", {{"reply", KindName(reply)}});
    m_registration_timer.SetAt(m_clock.Now() + kRegistrationRetryDelay);
  });
}

void RelayProcess::OnPeers() {
  m_dispatchers.SetPeers(m_peers.table());
  m_retries.SetProcessCount(m_peers.table().live_count() + 1);
  m_fleet.SetStoreReachable(m_fleet.connected() || m_peers.table().AnyConnectedToStore());
  m_fleet.SetStoreRole(m_peers.table().store_role());
}

void RelayProcess::FillStatus(peers::PeerStatus& status) const {
  status.items_version = m_fleet.version();
  status.configuration_version = m_fleet.configuration_version();
  status.store_connected = m_fleet.connected() && m_fleet.loaded();
  status.loads = m_dispatchers.Loads();
  status.queues = m_dispatchers.Queues();
  status.suspects = m_quarantine.Reports();
  status.rate_limits = m_dispatchers.RateLimits();
}

bool RelayProcess::IsReady() const {
  return !m_draining && m_fleet.table() != nullptr && m_fleet.upstreams().size() > 0;
}

asio::awaitable<void> RelayProcess::ServeHealth(net::ResponseStream& response) {
  const bool ready = IsReady();
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
    m_gateway.AbortAll();
    asio::post(m_context, [this] { m_context.stop(); });
    return;
  }
  m_log.Info("shutdown_started", {{"requests", m_gateway.active()}});
  asio::co_spawn(
      m_context, [this] { return DrainAndStop(); }, net::RethrowFailure{});
}

asio::awaitable<void> RelayProcess::DrainAndStop() {
  const core::Instant started = m_clock.Now();
  const core::Instant limit = started + m_settings.shutdown_limit - 2 * kFinalResponseTime;
  m_shutdown.Begin(limit);
  m_caller_server.AnnounceClosing();
  co_await runtime::Pause(m_context, kDeregistrationDelay);
  m_caller_server.StopAccepting();
  while (m_clock.Now() < limit) {
    if (m_gateway.active() == 0 && m_caller_server.ActiveExchanges() == 0) break;
    m_gateway.EndUnstartable();
    co_await runtime::Pause(m_context, kDrainPollInterval);
  }
  if (m_gateway.active() > 0) {
    m_log.Warning("shutdown_limit_passed", {{"requests", m_gateway.active()}});
    m_gateway.AbortAll();
    co_await runtime::Pause(m_context, kFinalResponseTime);
  }
  m_log.Info("shutdown_finished", {{"elapsed_us", m_clock.Now() - started}});
  m_context.stop();
}

}  // namespace cornelrelay::relay
