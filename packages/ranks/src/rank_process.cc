#include "cornelrelay/ranks/rank_process.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <utility>
#include <variant>

#include "cornelrelay/core/error.h"
#include "cornelrelay/core/http_status.h"
#include "cornelrelay/core/overloaded.h"
#include "cornelrelay/net/rethrow_failure.h"
#include "cornelrelay/ranks/leader_entry.h"
#include "cornelrelay/runtime/pause.h"
#include "cornelrelay/runtime/store_options.h"

namespace cornelrelay::ranks {
namespace {

namespace asio = boost::asio;
using std::chrono::milliseconds;

/// Pause before the engine is asked for its group again, if it did not answer or has no group yet.
constexpr milliseconds kGroupRetryPause{500};
/// Duration of a watch on the leader key. The key changes seldom, and every watch costs a call.
constexpr milliseconds kLeaderKeyWatch{12'000};
constexpr milliseconds kConnectTimeout{150};
/// An answer of the store that is later than this counts as lost. The lease outlasts one such call,
/// see LeaderLeaseConfig::ttl.
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
                                   kLeaderKeyWatch + kStoreCallTimeout),
          seed + 1)),
      m_engines(m_client, ports.engines, log),
      m_agents(
          context, m_client, m_settings.agents,
          [this](wire::RankCall call) { return HandleCall(std::move(call)); }, log),
      m_server(context, m_settings.agents, net::HttpServerLimits{}, std::nullopt,
               [this](net::HttpRequest request, net::ResponseStream& response) {
                 return HandleRequest(std::move(request), response);
               }),
      m_metrics_server(context, m_clock, m_settings.metrics, m_metrics),
      m_reader_timer(context, m_clock,
                     [this] { PerformReaderActions(m_reader->OnTick(m_clock.Now())); }),
      m_lease_timer(context, m_clock, [this] { StepLease(LeaseTick{}); }),
      m_candidacy_timer(context, m_clock, [this] { StepCandidacy(); }) {}

void RankProcess::Start() {
  m_server.Start();
  m_metrics_server.Start();
  m_log.Info("rank_process_started", {{"engine", core::ToString(m_settings.engine)},
                                      {"service", m_settings.service},
                                      {"store", core::ToString(m_settings.store)}});
  asio::co_spawn(
      m_context, [this] { return WaitForGroup(); }, net::RethrowFailure{});
}

void RankProcess::Reload(const settings::RankSettings& settings) {
  m_log.SetLevel(settings.log_level);
  m_log.Info("settings_reloaded", {{"log_level", telemetry::ToString(settings.log_level)}});
}

// A candidate that does not lead just stops. A leader keeps the leader key until its lease expires,
// so that a successor finds every rank as this leader left it.
void RankProcess::Shutdown() {
  m_log.Info("shutdown_started");
  if (m_leader) m_leader->StopLeading();
  m_context.stop();
}

asio::awaitable<void> RankProcess::WaitForGroup() {
  while (true) {
    const auto report = co_await m_engines.FetchReport(m_settings.engine);
    if (report) {
      JoinGroup(*report);
      co_return;
    }
    co_await runtime::Pause(m_context, kGroupRetryPause);
  }
}

void RankProcess::JoinGroup(const balance::RankReport& report) {
  m_log.Info("group_joined", {{"group", report.group},
                              {"rank", report.rank},
                              {"size", report.size},
                              {"epoch", report.state.epoch}});
  m_admission.JoinGroup(report.group);
  m_leader_key = "cornelrelay/groups/" + report.group.value() + "/leader";
  LeaderLeaseConfig lease;
  lease.key = m_leader_key;
  lease.value = m_settings.host.value();
  CandidacyConfig candidacy;
  candidacy.rank = report.rank;
  candidacy.ranks = report.size;
  m_candidacy.emplace(candidacy, m_clock.Now());
  lease.stagger = m_candidacy->Stagger();
  m_lease.emplace(lease);
  m_leader = std::make_unique<GroupLeader>(
      GroupLeader::Dependencies{m_context, m_clock, m_agents, m_engines, *m_store, m_ports, m_log,
                                m_metrics},
      m_settings, report, [this] { StepLease(NewerLeaderFound{}); });
  m_reader.emplace(m_leader_key, store::PrefixReaderOptions{.watch_wait = kLeaderKeyWatch},
                   m_seed + 2);
  // Every agent reads the key once, so that it knows a fence.
  PerformReaderActions(m_reader->Start(m_clock.Now()));
  if (!m_candidacy->candidate()) m_reader->Pause();
  StepCandidacy();
}

void RankProcess::NoteLeaderCall() {
  if (!m_candidacy || m_leader->leading()) return;
  if (m_candidacy->OnLeaderCall(m_clock.Now())) {
    m_log.Info("candidacy_changed", {{"candidate", false}});
    m_reader->Pause();
  }
  if (const auto wake = m_candidacy->NextWake()) m_candidacy_timer.SetAt(*wake);
}

void RankProcess::StepCandidacy() {
  if (m_candidacy->OnTick(m_clock.Now())) {
    m_log.Warning("candidacy_changed", {{"candidate", true}});
    // Reads the key anew: the one that is known may be old.
    PerformReaderActions(m_reader->Resume(m_clock.Now(), {}));
  }
  if (const auto wake = m_candidacy->NextWake()) m_candidacy_timer.SetAt(*wake);
}

asio::awaitable<void> RankProcess::HandleRequest(net::HttpRequest request,
                                                 net::ResponseStream& response) {
  net::HttpResponse answer;
  std::optional<wire::RankCall> call;
  try {
    call = wire::DecodeRankCall(request.body);
  } catch (const core::Error& error) {
    m_log.Warning("call_unreadable", {{"reason", error.code()}});
  }
  if (call) {
    const wire::RankReply reply = co_await HandleCall(std::move(*call));
    try {
      answer.body = wire::Encode(reply);
    } catch (const core::Error& error) {
      m_log.Error("reply_not_encoded", {{"reason", error.what()}});
      answer.status = core::kStatusInternalError;
    }
  } else {
    answer.status = core::kStatusBadRequest;
  }
  co_await response.SendWhole(std::move(answer));
}

asio::awaitable<wire::RankReply> RankProcess::HandleCall(wire::RankCall call) {
  wire::RankReply reply;
  std::shared_ptr<GroupCall> forwarded;
  const CallVerdict verdict = m_admission.Admit(call.group, call.fence);
  if (verdict == CallVerdict::kOtherGroup) {
    // The agents to which the call passes from here may belong to the caller's group.
    if (!call.forward_to.empty()) forwarded = m_agents.Forward(call);
    reply.report = co_await m_engines.FetchReport(m_settings.engine);
    if (forwarded) {
      co_await AddForwardedReplies(*forwarded, reply);
    }
    co_return reply;
  }
  if (verdict != CallVerdict::kAdmitted) {
    m_log.Warning("order_not_admitted", {{"order", KindName(call.order)},
                                         {"group", call.group},
                                         {"fence", call.fence},
                                         {"known_fence", m_admission.fence().value_or(0)},
                                         {"fence_known", m_admission.fence().has_value()}});
    if (verdict == CallVerdict::kFenced) reply.result = balance::OrderResult::kFenced;
    co_return reply;
  }
  NoteLeaderCall();
  if (!call.forward_to.empty()) forwarded = m_agents.Forward(call);
  reply.lacks_map = !ResolveMap(call);
  if (!reply.lacks_map) {
    reply.result = co_await m_engines.IssueOrder(call.engine.value_or(m_settings.engine),
                                                 call.order, call.epoch, call.fence);
  }
  if (!call.engine) {
    co_await AddOwnState(call, reply);
  }
  if (forwarded) {
    co_await AddForwardedReplies(*forwarded, reply);
  }
  co_return reply;
}

asio::awaitable<void> RankProcess::AddForwardedReplies(GroupCall& forwarded,
                                                       wire::RankReply& reply) {
  GroupReply others = co_await forwarded.Replies();
  AddExpertCounts(reply.expert_counts, others.expert_counts);
  reply.forwarded = std::move(others.replies);
}

bool RankProcess::ResolveMap(wire::RankCall& call) {
  auto* prepare = std::get_if<balance::PrepareMap>(&call.order);
  if (prepare == nullptr) return true;
  if (!call.map_delta) {
    m_maps.Add(prepare->map);
    return true;
  }
  const auto map = m_maps.Resolve(*call.map_delta);
  if (!map) return false;
  prepare->map = *map;
  return true;
}

asio::awaitable<void> RankProcess::AddOwnState(const wire::RankCall& call, wire::RankReply& reply) {
  reply.report = co_await m_engines.FetchReport(m_settings.engine);
  if (!reply.report) co_return;
  if (call.want_expert_counts) {
    const std::vector<std::uint64_t> totals =
        co_await m_engines.FetchExpertCounts(m_settings.engine);
    reply.expert_counts =
        m_count_tracker.TakeIncrements(call.fence, reply.report->incarnation, totals);
  }
  if (call.known_map == reply.report->state.map) reply.report->state.experts.clear();
}

void RankProcess::PerformReaderActions(const store::PrefixReader::Actions& actions) {
  for (const auto& action : actions) {
    std::visit(
        core::Overloaded{[this](const store::CallStore& call) {
                           m_store->Call(call.request, [this](const store::StoreReply& reply) {
                             PerformReaderActions(m_reader->OnReply(m_clock.Now(), reply));
                           });
                         },
                         [this](const store::ItemsRead& read) {
                           ApplyItems(read.items, read.version.era, true);
                         },
                         [this](const store::ItemsChanged& changed) {
                           ApplyItems(changed.changes, changed.version.era, false);
                         },
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

void RankProcess::ApplyItems(const std::vector<store::ItemChange>& items, store::StoreEra era,
                             bool complete) {
  if (complete && items.empty()) {
    // Nobody has led since the store's start, or the last lease has expired. Any leader is newer
    // and has a fence above 0. A known fence is kept.
    m_admission.RaiseFence(0);
    if (m_candidacy->candidate()) StepLease(LeaderKeyObserved{std::nullopt, era});
  }
  for (const store::ItemChange& item : items) {
    if (item.key != m_leader_key) continue;
    LeaderKeyObserved observed;
    observed.era = era;
    if (item.value) {
      const LeaderEntry leader = DecodeLeaderEntry(*item.value);
      const balance::Fence fence = FenceOf({leader.era, item.revision});
      observed.stored = store::StoredValue{leader.host, item.revision};
      observed.outdated = fence < m_admission.fence().value_or(0);
      m_admission.RaiseFence(fence);
    }
    if (m_candidacy->candidate()) StepLease(observed);
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

void RankProcess::Perform(const SendLeaseRequest& action) {
  m_store->Call(action.request,
                [this](const store::StoreReply& reply) { StepLease(LeaseReply{reply}); });
}

void RankProcess::Perform(const LeadershipAcquired& action) {
  m_admission.RaiseFence(action.fence);
  m_leader->StartLeading(action.fence);
}

// This process goes on leading: the fence guards of the ranks, not the lease, reject the orders of
// an older leader.
void RankProcess::Perform(const LeaseLapsed&) {
  m_log.Warning("group_lease_lapsed", {{"seat", m_leader_key}});
}

void RankProcess::Perform(const LeadershipSuperseded&) { m_leader->StopLeading(); }

}  // namespace cornelrelay::ranks
