#include "cornelrelay/relay/quarantine_service.h"

#include <boost/asio/co_spawn.hpp>
#include <chrono>
#include <string>
#include <utility>
#include <variant>

#include "cornelrelay/net/rethrow_failure.h"

namespace cornelrelay::relay {
namespace {

namespace asio = boost::asio;
/// Several statuses of the largest fleets, whose processes send one every 0.75 s. By then each live
/// process remembers the suspect itself; one that starts later needs only what is quarantined.
constexpr std::chrono::seconds kSuspectReportTime{5};

quarantine::SuspectSettings TableSettings() {
  quarantine::SuspectSettings settings;
  settings.report_time = kSuspectReportTime;
  return settings;
}

}  // namespace

QuarantineService::QuarantineService(asio::io_context& context, const runtime::ProcessClock& clock,
                                     const CrashProbe& probe,
                                     const directory::UpstreamDirectory& directory,
                                     std::uint64_t seed, telemetry::JsonLog& log,
                                     telemetry::MetricRegistry& metrics, Callbacks callbacks)
    : m_context(context),
      m_clock(clock),
      m_probe(probe),
      m_directory(directory),
      m_log(log),
      m_metrics(metrics),
      m_callbacks(std::move(callbacks)),
      m_table(TableSettings(), seed) {}

std::optional<core::Duration> QuarantineService::HoldBack(
    const core::RequestId& request, const quarantine::RequestFeatures& features) {
  const std::uint64_t trials = m_table.trial_count();
  const auto retry_after = m_table.HoldBack(m_clock.Now(), request, features);
  if (m_table.trial_count() > trials) {
    m_log.Info("quarantine_trial", {{"request", request}});
    m_metrics
        .GetCounter("cornelrelay_quarantine_trials_total",
                    "Requests that ran although a segment of theirs was quarantined.")
        .Add();
  }
  return retry_after;
}

bool QuarantineService::MayGoOn(const core::RequestId& request,
                                const quarantine::RequestFeatures& features) const {
  return m_table.MayGoOn(request, features);
}

void QuarantineService::RecordOutput(const quarantine::RequestFeatures& features) {
  Step(quarantine::OutputContinued{features});
}

bool QuarantineService::Examine(const LostAttempt& attempt, std::function<void()> on_done) {
  const auto entry = m_directory.Find(attempt.upstream);
  // An upstream that leaves may end its connections; that is no crash.
  if (!entry || entry->leaving) return false;
  const bool decisive = m_table.IsNextCrashDecisive(attempt.features);
  if (!decisive) on_done = [] {};
  asio::co_spawn(
      m_context,
      [this, attempt, incarnation = entry->incarnation, on_done = std::move(on_done)] {
        return ExamineUpstream(attempt, incarnation, on_done);
      },
      net::RethrowFailure{});
  return decisive;
}

asio::awaitable<void> QuarantineService::ExamineUpstream(LostAttempt attempt,
                                                         std::uint64_t incarnation,
                                                         std::function<void()> on_done) {
  const bool crashed = co_await m_probe.HasCrashed(attempt.upstream);
  m_log.Warning("lost_attempt_examined", {{"upstream", attempt.upstream},
                                          {"incarnation", incarnation},
                                          {"crashed", crashed},
                                          {"answer_begun", attempt.answer_begun}});
  if (crashed) {
    Step(quarantine::RequestLostInCrash{attempt.upstream, incarnation, attempt.answer_begun,
                                        attempt.features});
  }
  on_done();
}

void QuarantineService::Merge(const std::vector<quarantine::SuspectReport>& reports) {
  if (!reports.empty()) Step(quarantine::SuspectsReported{reports});
}

std::vector<quarantine::SuspectReport> QuarantineService::Reports() const {
  return m_table.Reports(m_clock.Now());
}

void QuarantineService::Step(const quarantine::SuspectEvent& event) {
  for (const quarantine::SuspectAction& action : m_table.Step(m_clock.Now(), event)) {
    std::visit([this](const auto& a) { Perform(a); }, action);
  }
}

void QuarantineService::Perform(const quarantine::SuspectQuarantined& action) {
  m_log.Warning("quarantine_begun",
                {{"fingerprint", action.suspect.value()}, {"crashes", action.crashes}});
  m_metrics
      .GetCounter("cornelrelay_quarantines_total",
                  "Prompt segments and requests put in quarantine.")
      .Add();
  m_callbacks.on_quarantined();
}

void QuarantineService::Perform(const quarantine::SuspectCleared& action) {
  m_log.Info("quarantine_ended", {{"fingerprint", action.suspect.value()}});
}

void QuarantineService::Perform(const quarantine::SuspectsChanged&) {
  m_callbacks.on_reports_changed();
}

}  // namespace cornelrelay::relay
