#include "cornelrelay/entry/entry_process.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <nlohmann/json.hpp>
#include <utility>
#include <vector>

#include "cornelrelay/core/hash.h"
#include "cornelrelay/gossip/quantise.h"
#include "cornelrelay/gossip/upstream_view.h"
#include "cornelrelay/net/rethrow_failure.h"
#include "cornelrelay/runtime/pause.h"
#include "cornelrelay/runtime/process_setup.h"
#include "dump.h"
#include "settings_conversion.h"

namespace cornelrelay::entry {
namespace {

namespace asio = boost::asio;

/// A record names all replicas of its service: 11 KB with 85 replicas, of 64 MB that a process may
/// use.
constexpr std::size_t kDecisions = 2'000;
constexpr std::size_t kWatchersPerDataCentre = 2;
/// One way between the data centres of one region; settings do not give it yet.
constexpr std::chrono::microseconds kDataCentreDistance{1500};
/// The health check fails this long before connections are refused, so that the balancer notices.
constexpr std::chrono::milliseconds kAnnounceTime{2000};
/// Time for the leave notice to spread.
constexpr std::chrono::milliseconds kLeaveTime{1000};
constexpr std::chrono::milliseconds kDrainPoll{20};
/// Load reports age and notices arrive without an event of their own.
constexpr std::chrono::milliseconds kRefreshInterval{200};

// Incarnations are start times in microseconds, so the sum keeps rising over restarts.
std::uint64_t StatementOrder(const gossip::Version& version) {
  return version.incarnation + version.sequence;
}

}  // namespace

EntryProcess::EntryProcess(asio::io_context& context, settings::EntrySettings settings,
                           telemetry::JsonLog& log, std::uint64_t seed)
    : m_context(context),
      m_settings(std::move(settings)),
      m_log(log),
      m_incarnation(runtime::IncarnationAt(m_clock)),
      m_upstream_client(context, net::HttpClientLimits{}),
      m_platform_client(context, net::HttpClientLimits{}),
      m_decisions(kDecisions),
      m_store(std::make_shared<runtime::StoreLink>(context, m_clock, m_platform_client,
                                                   m_store_codec, m_settings.common.store,
                                                   store::StoreClientOptions{}, seed + 1)),
      m_control(
          context, m_clock,
          runtime::ToNodeSettings(m_settings.common, gossip::Role::kEntry, m_incarnation),
          runtime::ToMacKey(m_settings.common.control_key),
          [this](const core::HostId& from, const wire::ControlMessage& message) {
            m_claims.Receive(from, message);
            m_catalogues.Receive(message);
          },
          [this](const gossip::Record& record) { OnRecord(record); }),
      m_catalogues(context, m_clock, *m_store, m_platform_client, m_control, log, seed + 2,
                   [this](const profile::Catalogue& catalogue) { OnCatalogue(catalogue); }),
      m_tables(context, m_platform_client, m_control, seed + 7),
      m_admission(context, m_clock,
                  limits::AdmissionConfig{.shares = {.self = m_settings.common.host}},
                  [this](const limits::PublishConfirmation& standing) {
                    m_control.Step(gossip::PublishStanding{gossip::LimitStanding{
                        standing.view, static_cast<std::uint8_t>(standing.standing)}});
                  }),
      m_claims(context, m_clock, *m_store, m_control, m_settings.common.host, m_incarnation,
               seed + 3),
      m_crashes(context, m_clock, m_upstream_client, m_control, log, m_settings.common.host,
                m_incarnation),
      m_services(MakeServices(seed + 4)),
      m_gateway(
          RequestServices{context, m_clock, m_upstream_client, m_admission, m_claims, m_crashes,
                          m_decisions, m_metrics, log, m_settings.limits},
          CallerRequestParser(m_settings.accounts, m_settings.services), m_services,
          [this] { return m_catalogues.replica().catalogue(); }, m_settings.common.host,
          m_incarnation),
      m_admin_api(AdminServices{context, m_clock, *m_store, m_catalogues, m_control, m_decisions,
                                m_metrics, log, [this] { return Dump(); }},
                  m_settings.operator_credential, seed + 5),
      m_host_list(context, m_platform_client, m_settings.common.host_list, seed + 6,
                  [this](std::vector<gossip::HostListEntry> hosts) {
                    m_control.Step(gossip::HostListReceived{std::move(hosts)});
                  }),
      m_refresh(context, m_clock, [this] { RefreshReplicas(); }),
      m_callers(context, m_settings.callers,
                internal::ToServerLimits(m_settings.limits, m_settings.timeouts),
                internal::ToTls(m_settings.tls),
                [this](net::HttpRequest request, net::ResponseStream& response) {
                  return m_gateway.Serve(std::move(request), response);
                }),
      m_admin(context, m_settings.admin, net::HttpServerLimits{}, std::nullopt,
              [this](net::HttpRequest request, net::ResponseStream& response) {
                return m_admin_api.Serve(std::move(request), response);
              }),
      m_control_tcp(context, m_settings.common.control, net::HttpServerLimits{}, std::nullopt,
                    [this](net::HttpRequest request, net::ResponseStream& response) {
                      return ServeControl(std::move(request), response);
                    }) {}

void EntryProcess::Start() {
  m_control.Start();
  m_control_tcp.Start();
  m_catalogues.Start();
  m_tables.Start();
  m_host_list.Start();
  UpdateMembers();
  RefreshReplicas();
  m_callers.Start();
  m_admin.Start();
  m_log.Info("entry_process_started", {{"callers", core::ToString(m_settings.callers)},
                                       {"admin", core::ToString(m_settings.admin)}});
}

ServiceMap EntryProcess::MakeServices(std::uint64_t seed) const {
  ServiceMap services;
  for (const auto& service : m_settings.services) {
    routing::RouterConfig router;
    router.seed = core::Hash64(service.id.value(), seed);
    router.data_centre = m_settings.common.data_centre;
    for (const auto& upstream : service.upstreams) {
      if (upstream.data_centre != router.data_centre) {
        router.one_way_latencies[upstream.data_centre] = kDataCentreDistance;
      }
    }
    services.emplace(service.id, std::make_unique<ServiceRuntime>(service, std::move(router)));
  }
  return services;
}

void EntryProcess::OnRecord(const gossip::Record& record) {
  if (const auto* member = std::get_if<gossip::MemberState>(&record.payload)) {
    OnMember(record, *member);
  } else if (const auto* standing = std::get_if<gossip::LimitStanding>(&record.payload)) {
    m_admission.Receive(limits::ConfirmationReceived{
        record.origin, standing->view, static_cast<limits::Standing>(standing->standing),
        StatementOrder(record.version)});
  } else if (const auto* crash = std::get_if<gossip::CrashNote>(&record.payload)) {
    m_crashes.Receive(*crash);
  } else if (std::holds_alternative<gossip::LeavingNotice>(record.payload)) {
    // Loads wait for the next refresh: at 940 replicas they arrive too often to rebuild all sets
    // each time.
    UpdateReplicas();
  }
}

void EntryProcess::OnMember(const gossip::Record& record, const gossip::MemberState& member) {
  UpdateMembers();
  if (member.role != gossip::Role::kEntry || record.key.subject == m_settings.common.host.value()) {
    return;
  }
  const core::HostId peer(record.key.subject);
  const bool present = member.life == gossip::Life::kAlive || member.life == gossip::Life::kSuspect;
  if (present) {
    m_catalogues.OnEvent(profile::RevisionHeard{peer, member.revision});
  } else {
    m_catalogues.OnEvent(profile::PeerGone{peer});
  }
}

void EntryProcess::UpdateMembers() {
  const core::HostId& self = m_settings.common.host;
  std::vector<limits::Member> sharing;
  std::set<core::HostId> live{self};
  std::vector<core::HostId> local{self};
  for (const auto& [key, stored] : m_control.node().table().records()) {
    const auto* member = std::get_if<gossip::MemberState>(&stored.record.payload);
    if (member == nullptr || member->role != gossip::Role::kEntry) continue;
    const core::HostId host(key.subject);
    const bool alive = member->life == gossip::Life::kAlive;
    if (alive || member->life == gossip::Life::kSuspect) {
      sharing.push_back({host, stored.record.version.incarnation});
    }
    if (alive) live.insert(host);
    const bool is_local = member->data_centre == m_settings.common.data_centre;
    if (alive && is_local && host != self) local.push_back(host);
  }
  m_admission.SetMembers(std::move(sharing));
  m_claims.SetMembers(live);
  const std::string key = "watch/" + m_settings.common.data_centre.value();
  std::sort(local.begin(), local.end(), [&](const core::HostId& a, const core::HostId& b) {
    return core::RendezvousScore(key, a.value()) > core::RendezvousScore(key, b.value());
  });
  local.resize(std::min(local.size(), kWatchersPerDataCentre));
  const bool watching = std::find(local.begin(), local.end(), self) != local.end();
  if (watching != m_catalogues.replica().Watching()) {
    m_catalogues.OnEvent(profile::WatcherChosen{watching});
  }
}

void EntryProcess::RefreshReplicas() {
  UpdateReplicas();
  m_refresh.SetAt(m_clock.Now() + kRefreshInterval);
}

void EntryProcess::UpdateReplicas() {
  const auto now = m_clock.Now();
  const gossip::UpstreamView view(m_control.node().table());
  for (auto& [id, service] : m_services) {
    routing::ReplicaSetUpdated update;
    for (const auto& upstream : service->settings().upstreams) {
      routing::ReplicaStatus status;
      status.id = upstream.id;
      status.data_centre = upstream.data_centre;
      if (const auto known = view.Find(upstream.id, now)) {
        status.leaving = known->leaving;
        const auto running = gossip::CountOf(known->status.load.running);
        const auto waiting = gossip::CountOf(known->status.load.waiting);
        status.load.outstanding =
            routing::QuantisedLoad::From(static_cast<std::uint64_t>(running + waiting));
        status.load.age = known->age;
      }
      update.replicas.push_back(std::move(status));
    }
    service->router().Step(now, update);
  }
}

void EntryProcess::OnCatalogue(const profile::Catalogue& catalogue) {
  for (const auto& [id, service] : m_services) {
    service->Apply(m_clock.Now(), service->ProfileIn(catalogue));
    m_admission.SetLimits(
        id, internal::ToLimits(service->ProfileIn(catalogue), m_settings.accounts.size()));
  }
}

asio::awaitable<void> EntryProcess::ServeControl(net::HttpRequest request,
                                                 net::ResponseStream& response) {
  net::HttpResponse answer;
  if (request.target == "/catalogue") answer.body = m_catalogues.AnswerFetch(request.body);
  if (request.target == "/table") answer.body = m_tables.AnswerFetch(request.body);
  if (answer.body.empty()) answer.status = 400;
  co_await response.SendWhole(std::move(answer));
}

void EntryProcess::Shutdown() {
  if (std::exchange(m_shutting_down, true)) {
    m_log.Warning("shutdown_forced", {{"requests", m_gateway.tasks().size()}});
    m_gateway.EndAll();
    asio::post(m_context, [this] { m_context.stop(); });
    return;
  }
  m_log.Info("shutdown_started", {{"requests", m_gateway.tasks().size()}});
  asio::co_spawn(
      m_context, [this] { return DrainAndStop(); }, net::RethrowFailure{});
}

asio::awaitable<void> EntryProcess::DrainAndStop() {
  const auto limit = m_clock.Now() + m_settings.common.shutdown_limit;
  m_gateway.SetDraining();
  m_callers.AnnounceClosing();
  co_await runtime::Pause(m_context, kAnnounceTime);
  m_callers.StopAccepting();
  while (m_clock.Now() < limit) {
    if (m_gateway.tasks().empty() && m_callers.ActiveExchanges() == 0) break;
    co_await runtime::Pause(m_context, kDrainPoll);
  }
  if (!m_gateway.tasks().empty()) {
    m_gateway.EndAll();
    co_await runtime::Pause(m_context, std::chrono::milliseconds(200));
  }
  while (m_claims.HasUnfinished() && m_clock.Now() < limit) {
    co_await runtime::Pause(m_context, kDrainPoll);
  }
  // The others take over this process's share of the limits once it has left, so it leaves when it
  // runs nothing more.
  m_control.Step(gossip::Leave{});
  co_await runtime::Pause(m_context, kLeaveTime);
  m_log.Info("shutdown_finished");
  m_context.stop();
}

nlohmann::json EntryProcess::Dump() const {
  return internal::DumpOf({m_gateway, m_services, m_admission, m_claims, m_crashes, m_catalogues,
                           m_control, *m_store, m_clock.Now()});
}

}  // namespace cornelrelay::entry
