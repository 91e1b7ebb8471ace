#include <algorithm>
#include <cassert>
#include <cmath>

#include "cornelrelay/limits/admission_controller.h"
#include "cornelrelay/limits/share.h"

namespace cornelrelay::limits {

namespace {

// Rates are divided in units of a thousandth of a request per second, so that a small rate still
// gives each process a share.
constexpr std::uint64_t kRateScale = 1000;

std::string AccountKey(const core::ServiceId& service, const core::ClientAccountId& account) {
  return service.value() + '\n' + account.value();
}

core::Duration Scaled(core::Duration duration, double factor) {
  return core::Duration(
      static_cast<core::Duration::rep>(static_cast<double>(duration.count()) * factor));
}

}  // namespace

std::uint64_t AdmissionController::UsableShare(const core::ServiceId& service,
                                               const core::ClientAccountId& account,
                                               std::uint64_t limit) const {
  // All limits of an account use one key, so that the process that holds a permit also holds a
  // token and a queue place.
  return m_shares.Usable(limit, AccountKey(service, account));
}

AdmissionController::AccountState& AdmissionController::RefillAccount(
    core::Instant now, const core::ServiceId& id, ServiceState& service,
    const core::ClientAccountId& account) {
  const auto found =
      service.accounts.try_emplace(account, AccountState{0, TokenBucket(m_bucket_start)}).first;
  const AccountLimits& limits = service.limits.ForAccount(account);
  const double rate =
      static_cast<double>(UsableShare(id, account, limits.rate * kRateScale)) / kRateScale;
  found->second.bucket.Refill(now, rate,
                              static_cast<double>(UsableShare(id, account, limits.burst)));
  return found->second;
}

bool AdmissionController::MayStart(core::Instant now, const core::ServiceId& id,
                                   ServiceState& service, const core::ClientAccountId& account) {
  if (service.running >= m_shares.Usable(service.limits.concurrency, id.value())) return false;
  AccountState& state = RefillAccount(now, id, service, account);
  TokenBucket trial = state.bucket;
  return state.running < UsableShare(id, account, service.limits.ForAccount(account).concurrency) &&
         trial.Take();
}

void AdmissionController::Start(core::Instant now, const core::ServiceId& id, ServiceState& service,
                                const QueuedRequest& item, Actions& out) {
  AccountState& account = RefillAccount(now, id, service, item.account);
  const bool taken = account.bucket.Take();
  assert(taken);
  static_cast<void>(taken);
  ++account.running;
  ++service.running;
  m_running.emplace(item.request, RunningRequest{id, item.account, now, item.work});
  out.emplace_back(StartRequest{item.request});
}

core::Duration AdmissionController::ExpectedWait(core::Instant now, const core::ServiceId& id,
                                                 ServiceState& service,
                                                 const RequestArrived& event) {
  const AccountLimits& limits = service.limits.ForAccount(event.account);
  const AccountState& account = RefillAccount(now, id, service, event.account);
  const auto queued_of_account = static_cast<double>(service.queue.SizeOf(event.account));
  const auto slots = static_cast<double>(m_shares.Usable(service.limits.concurrency, id.value()));
  const auto permits = static_cast<double>(UsableShare(id, event.account, limits.concurrency));
  const double rate =
      static_cast<double>(UsableShare(id, event.account, limits.rate * kRateScale)) / kRateScale;
  core::Duration wait{};
  if (static_cast<double>(service.running) >= slots) {
    const auto ahead = static_cast<double>(service.queue.AheadOf(event.account, event.priority));
    wait = Scaled(service.service_time.mean(), (ahead + 1) / std::max(1.0, slots));
  }
  if (static_cast<double>(account.running) >= permits) {
    wait = std::max(wait, Scaled(service.service_time.mean(),
                                 (queued_of_account + 1) / std::max(1.0, permits)));
  }
  const double missing_tokens = queued_of_account + 1 - account.bucket.tokens();
  if (missing_tokens > 0 && rate > 0) {
    wait = std::max(wait, Scaled(std::chrono::seconds(1), missing_tokens / rate));
  }
  return wait;
}

void AdmissionController::Apply(core::Instant now, const RequestArrived& event, Actions& out) {
  const auto found = m_services.find(event.service);
  if (found == m_services.end()) {
    out.emplace_back(RefuseRequest{event.request, RefusalReason::kUnknownService, {}, {}});
    return;
  }
  ServiceState& service = found->second;
  const AccountLimits& limits = service.limits.ForAccount(event.account);
  const std::uint64_t permits = UsableShare(event.service, event.account, limits.concurrency);
  const std::uint64_t burst = UsableShare(event.service, event.account, limits.burst);
  if (permits == 0 || burst == 0 ||
      m_shares.Usable(service.limits.concurrency, event.service.value()) == 0) {
    out.emplace_back(
        RefuseRequest{event.request, RefusalReason::kNoShare, m_config.no_share_retry_after,
                      FirstHolder(AccountKey(event.service, event.account), m_shares.members())});
    return;
  }

  const core::Duration run_time = service.service_time.Estimate(event.work);
  const bool start = service.queue.SizeOf(event.account) == 0 &&
                     MayStart(now, event.service, service, event.account);
  const core::Duration wait =
      start ? core::Duration::zero() : ExpectedWait(now, event.service, service, event);
  if (event.deadline != core::Instant::max() && now + wait + run_time > event.deadline) {
    const core::Duration excess =
        std::max(now + wait + run_time - event.deadline, core::Duration(1));
    out.emplace_back(RefuseRequest{event.request, RefusalReason::kDeadline, excess, {}});
    return;
  }
  const QueuedRequest item{event.request,  event.account, event.priority,
                           event.deadline, now,           event.work};
  if (start) {
    Start(now, event.service, service, item, out);
    return;
  }
  if (service.queue.SizeOf(event.account) >=
      UsableShare(event.service, event.account, limits.queue)) {
    out.emplace_back(RefuseRequest{event.request, RefusalReason::kQueueFull, wait, {}});
    return;
  }
  service.queue.Push(item);
  out.emplace_back(QueueRequest{event.request, wait});
}

}  // namespace cornelrelay::limits
