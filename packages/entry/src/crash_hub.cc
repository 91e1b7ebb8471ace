#include "cornelrelay/entry/crash_hub.h"

#include <boost/asio/co_spawn.hpp>
#include <chrono>
#include <nlohmann/json.hpp>
#include <set>
#include <utility>
#include <variant>

#include "cornelrelay/net/errors.h"
#include "cornelrelay/net/rethrow_failure.h"
#include "cornelrelay/quarantine/state_dump.h"
#include "cornelrelay/runtime/pause.h"
#include "quarantine_codec.h"

namespace cornelrelay::entry {
namespace {

namespace asio = boost::asio;

constexpr std::chrono::milliseconds kConnectTimeout{500};
constexpr std::chrono::milliseconds kSecondLook{100};
/// Entry processes that see one crash within this time name it alike.
constexpr std::chrono::seconds kCrashNaming{10};
/// More distinct upstreams than this lost within the window are the observer's fault.
constexpr std::chrono::seconds kMassLossWindow{5};
constexpr std::size_t kMassLoss = 4;

}  // namespace

CrashHub::CrashHub(asio::io_context& context, const runtime::ProcessClock& clock,
                   net::HttpClient& client, runtime::ControlPlane& control, telemetry::JsonLog& log,
                   core::HostId self, std::uint64_t incarnation)
    : m_context(context),
      m_clock(clock),
      m_client(client),
      m_control(control),
      m_log(log),
      m_ledger(std::move(self), incarnation, quarantine::QuarantineSettings{}),
      m_timer(context, clock, [this] { Step(quarantine::QuarantineTick{}); }) {}

bool CrashHub::IsSuspect(const quarantine::Fingerprint& fingerprint) const {
  return m_ledger.table().IsSuspect(fingerprint);
}

void CrashHub::Request(const RunOrder& order, Allowed allowed, Refused refused) {
  m_waiting[order.run] = Waiting{std::move(allowed), std::move(refused)};
  Step(quarantine::RunRequested{order.run, order.fingerprint, order.candidates});
}

void CrashHub::Started(const core::AttemptId& run, const core::UpstreamId& upstream) {
  Step(quarantine::RunStarted{run, upstream});
}

void CrashHub::Ended(const core::AttemptId& run, bool completed) {
  m_waiting.erase(run);
  m_holds.erase(run);
  Step(quarantine::RunEnded{run, completed});
}

void CrashHub::Broken(const core::AttemptId& run, const core::UpstreamId& upstream,
                      const core::Endpoint& endpoint, std::function<void()> done) {
  asio::co_spawn(
      m_context,
      [this, run, upstream, endpoint, done = std::move(done)] {
        return Examine(run, upstream, endpoint, done);
      },
      net::RethrowFailure{});
}

asio::awaitable<void> CrashHub::Examine(core::AttemptId run, core::UpstreamId upstream,
                                        core::Endpoint endpoint, std::function<void()> done) {
  if (!m_holds.contains(run)) {
    bool dead = co_await RefusesConnections(endpoint);
    if (!dead) {
      // A process that is just ending may still accept for a moment.
      co_await runtime::Pause(m_context, kSecondLook);
      dead = co_await RefusesConnections(endpoint);
    }
    if (dead && !m_holds.contains(run)) ReportFailure(upstream);
  }
  const auto hold = m_holds.find(run);
  if (hold != m_holds.end()) {
    const core::Duration wait = hold->second - m_clock.Now();
    m_holds.erase(hold);
    co_await runtime::Pause(m_context, wait);
  }
  done();
}

asio::awaitable<bool> CrashHub::RefusesConnections(core::Endpoint endpoint) {
  try {
    co_await m_client.Open(std::move(endpoint), net::HttpClient::ConnectionUse::kFresh,
                           {kConnectTimeout, kConnectTimeout});
  } catch (const net::ConnectFailed&) {
    co_return true;
  }
  co_return false;
}

void CrashHub::ReportFailure(const core::UpstreamId& upstream) {
  const auto now = m_clock.Now();
  while (!m_recent_failures.empty() && m_recent_failures.front().first + kMassLossWindow < now) {
    m_recent_failures.pop_front();
  }
  m_recent_failures.emplace_back(now, upstream);
  std::set<core::UpstreamId> lost;
  for (const auto& [time, id] : m_recent_failures) lost.insert(id);
  if (lost.size() > kMassLoss) {
    m_log.Warning("mass_loss_of_upstreams", {{"count", lost.size()}});
    return;
  }
  m_log.Warning("upstream_failed", {{"upstream", upstream}});
  const auto naming = now.time_since_epoch() / core::Duration(kCrashNaming);
  Step(quarantine::UpstreamFailed{upstream, static_cast<std::uint64_t>(naming)});
}

void CrashHub::Receive(const gossip::CrashNote& note) {
  const auto event = internal::DecodeNote(note);
  if (event) Step(*event);
}

void CrashHub::Step(const quarantine::LedgerEvent& event) {
  for (const auto& action : m_ledger.Step(m_clock.Now(), event)) {
    std::visit([this](const auto& a) { Perform(a); }, action);
  }
  if (const auto next = m_ledger.NextTick()) m_timer.SetAt(*next);
}

void CrashHub::Perform(const quarantine::AllowRun& action) {
  const auto found = m_waiting.find(action.attempt);
  if (found == m_waiting.end()) return;
  const Waiting waiting = std::move(found->second);
  m_waiting.erase(found);
  waiting.allowed(action);
}

void CrashHub::Perform(const quarantine::RefuseRun& action) {
  const auto found = m_waiting.find(action.attempt);
  if (found == m_waiting.end()) return;
  const Waiting waiting = std::move(found->second);
  m_waiting.erase(found);
  waiting.refused(action);
}

void CrashHub::Perform(const quarantine::HoldAnswer& action) {
  m_holds[action.attempt] = action.until;
}

void CrashHub::Perform(const quarantine::PublishCrash& action) {
  m_control.Step(
      gossip::ReportCrash{internal::SubjectOf(action.record), internal::EncodeNote(action.record)});
}

void CrashHub::Perform(const quarantine::PublishProbe& action) {
  m_control.Step(
      gossip::ReportCrash{internal::SubjectOf(action.record), internal::EncodeNote(action.record)});
}

nlohmann::json CrashHub::Dump() const { return quarantine::ToJson(m_ledger); }

}  // namespace cornelrelay::entry
