#include "cornelrelay/ranks/rank_process.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <utility>
#include <variant>

#include "cornelrelay/core/error.h"
#include "cornelrelay/core/http_status.h"
#include "cornelrelay/core/overloaded.h"
#include "cornelrelay/runtime/pause.h"
#include "cornelrelay/runtime/store_options.h"

namespace cornelrelay::ranks {
namespace {

namespace asio = boost::asio;
using std::chrono::milliseconds;

/// Pause between two looks for the group of an engine that does not answer or has none yet.
constexpr milliseconds kFindPause{500};
/// The seat changes seldom, and every watch costs a call.
constexpr milliseconds kSeatWatch{12'000};
/// Candidates of different ranks try for a free seat this much apart.
constexpr milliseconds kStaggerPerRank{15};
constexpr milliseconds kLongestStagger{600};
constexpr milliseconds kConnectTimeout{150};
/// An answer of the store that is later counts as lost; the lease outlasts some such calls.
constexpr milliseconds kStoreCallTimeout{800};

}  // namespace

RankProcess::RankProcess(asio::io_context& context, settings::RankSettings settings,
                         const RankPorts& ports, telemetry::JsonLog& log, std::uint64_t seed)
    : m_context(context),
      m_settings(std::move(settings)),
      m_ports(ports),
      m_log(log),
      m_seed(seed),
      m_client(context, {.connect_timeout = kConnectTimeout}),
      m_store(std::make_shared<runtime::StoreLink>(
          context, m_clock, m_client, ports.store, m_settings.store,
          runtime::UnrepeatedCalls(m_settings.store_calls_per_second, kStoreCallTimeout,
                                   kSeatWatch + kStoreCallTimeout),
          seed + 1)),
      m_engines(m_client, ports.engines, log),
      m_server(context, m_settings.agents, net::HttpServerLimits{}, std::nullopt,
               [this](net::HttpRequest request, net::ResponseStream& response) {
                 return Serve(std::move(request), response);
               }),
      m_metrics_server(context, m_clock, m_settings.metrics, m_metrics),
      m_reader_timer(context, m_clock, [this] { RunReader(m_reader->OnTick(m_clock.Now())); }),
      m_lease_timer(context, m_clock, [this] { StepLease(LeaseTick{}); }) {}

void RankProcess::Start() {
  m_server.Start();
  m_metrics_server.Start();
  m_log.Info("rank_process_started", {{"engine", core::ToString(m_settings.engine)},
                                      {"service", m_settings.service},
                                      {"store", core::ToString(m_settings.store)}});
  asio::co_spawn(
      m_context, [this] { return FindGroup(); }, asio::detached);
}

void RankProcess::Reload(const settings::RankSettings& settings) {
  m_log.SetLevel(settings.log_level);
  m_log.Info("settings_reloaded", {{"log_level", telemetry::ToString(settings.log_level)}});
}

// Only candidates without the lead stop at once; a leader leaves its seat to the lease, so that a
// successor finds every rank as it left them.
void RankProcess::Shutdown() {
  m_log.Info("shutdown_started");
  if (m_leader) m_leader->Stop();
  m_context.stop();
}

asio::awaitable<void> RankProcess::FindGroup() {
  while (true) {
    const auto report = co_await m_engines.Report(m_settings.engine);
    if (report) {
      JoinGroup(*report);
      co_return;
    }
    co_await runtime::Pause(m_context, kFindPause);
  }
}

void RankProcess::JoinGroup(const balance::RankReport& report) {
  m_log.Info("group_joined", {{"group", report.group},
                              {"rank", report.rank},
                              {"size", report.size},
                              {"epoch", report.state.epoch}});
  m_seat_key = "cornelrelay/groups/" + report.group.value() + "/leader";
  GroupLeaseConfig lease;
  lease.key = m_seat_key;
  lease.value = m_settings.host.value();
  lease.stagger = std::min(kStaggerPerRank * report.rank, kLongestStagger);
  m_lease.emplace(lease);
  m_leader = std::make_unique<GroupLeader>(
      GroupLeader::Services{m_context, m_clock, m_client, m_engines, *m_store, m_ports, m_log,
                            m_metrics},
      m_settings, report, [this](wire::RankCall call) { return Handle(std::move(call)); },
      [this] { StepLease(SeatResigned{}); });
  m_reader.emplace(m_seat_key, store::PrefixReaderOptions{.watch_wait = kSeatWatch}, m_seed + 2);
  RunReader(m_reader->Start(m_clock.Now()));
}

asio::awaitable<void> RankProcess::Serve(net::HttpRequest request, net::ResponseStream& response) {
  net::HttpResponse answer;
  std::optional<wire::RankCall> call;
  try {
    call = wire::DecodeRankCall(request.body);
  } catch (const core::Error& error) {
    m_log.Warning("call_unreadable", {{"reason", error.code()}});
  }
  if (call) {
    const wire::RankReply reply = co_await Handle(std::move(*call));
    answer.body = wire::Encode(reply);
  } else {
    answer.status = core::kStatusBadRequest;
  }
  co_await response.SendWhole(std::move(answer));
}

asio::awaitable<wire::RankReply> RankProcess::Handle(wire::RankCall call) {
  wire::RankReply reply;
  if (!m_gate.Admit(call.fence)) {
    m_log.Warning("order_not_admitted", {{"order", KindName(call.order)},
                                         {"fence", call.fence},
                                         {"known_fence", m_gate.fence().value_or(0)},
                                         {"fence_known", m_gate.fence().has_value()}});
    // An agent that has not read the store since its start knows of no newer leader.
    if (m_gate.fence()) reply.result = balance::OrderResult::kFenced;
    co_return reply;
  }
  reply.result = co_await m_engines.Order(call.engine.value_or(m_settings.engine), call.order,
                                          call.epoch, call.fence);
  if (call.engine) co_return reply;
  reply.report = co_await m_engines.Report(m_settings.engine);
  if (call.want_expert_counts && reply.report) {
    const std::vector<std::uint64_t> totals = co_await m_engines.Picks(m_settings.engine);
    reply.expert_counts = m_picks.Since(call.fence, reply.report->incarnation, totals);
  }
  co_return reply;
}

void RankProcess::RunReader(const store::PrefixReader::Actions& actions) {
  for (const auto& action : actions) {
    std::visit(core::Overloaded{
                   [this](const store::CallStore& call) {
                     m_store->Call(call.request, [this](const store::StoreReply& reply) {
                       RunReader(m_reader->OnReply(m_clock.Now(), reply));
                     });
                   },
                   [this](const store::ItemsRead& read) { SeeItems(read.items, true); },
                   [this](const store::ItemsChanged& changed) { SeeItems(changed.changes, false); },
                   [this](const store::StoreLinkLost& lost) {
                     m_log.Warning("store_lost", {{"reason", lost.reason}});
                   },
                   [this](const store::StoreLinkRegained& regained) {
                     m_log.Warning("store_regained", {{"outage_us", regained.outage}});
                   }},
               action);
  }
  if (const auto wake = m_reader->NextWake()) m_reader_timer.SetAt(*wake);
}

void RankProcess::SeeItems(const std::vector<store::ItemChange>& items, bool all) {
  if (all && items.empty()) {
    // Nobody has led since the store began, or the last lease has ended: any leader is newer.
    m_gate.RaiseFence(0);
    StepLease(SeatSeen{});
  }
  for (const store::ItemChange& item : items) {
    if (item.key != m_seat_key) continue;
    if (!item.value) {
      StepLease(SeatSeen{});
      continue;
    }
    m_gate.RaiseFence(static_cast<balance::Fence>(item.revision));
    StepLease(SeatSeen{store::StoredValue{*item.value, item.revision}});
  }
}

void RankProcess::StepLease(const LeaseEvent& event) {
  if (!m_lease) return;
  const core::Instant now = m_clock.Now();
  for (const auto& action : m_lease->Step(now, event)) {
    std::visit([this](const auto& a) { Perform(a); }, action);
  }
  m_lease_timer.SetAt(m_lease->NextWake(now));
}

void RankProcess::Perform(const CallForLease& action) {
  m_store->Call(action.request,
                [this](const store::StoreReply& reply) { StepLease(LeaseReply{reply}); });
}

void RankProcess::Perform(const SeatTaken& action) {
  m_gate.RaiseFence(action.fence);
  m_leader->Lead(action.fence);
}

// The gates of the ranks, not the lease, keep two leaders apart, so the lead goes on meanwhile.
void RankProcess::Perform(const SeatUnsure&) {
  m_log.Warning("group_seat_unsure", {{"seat", m_seat_key}});
}

void RankProcess::Perform(const SeatLost&) { m_leader->Stop(); }

}  // namespace cornelrelay::ranks
