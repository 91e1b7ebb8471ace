#include <algorithm>
#include <cassert>
#include <cmath>

#include "cornelrelay/limits/admission_controller.h"
#include "cornelrelay/limits/share.h"

namespace cornelrelay::limits {

namespace {

// Rates are split in thousandths of a request per second, so that small rates leave no process
// without a share.
constexpr std::uint64_t kRateScale = 1000;

std::string Key(const core::ServiceId& service, const core::ClientAccountId& account) {
  return service.value() + '\n' + account.value();
}

core::Duration Scaled(core::Duration duration, double factor) {
  return core::Duration(
      static_cast<core::Duration::rep>(static_cast<double>(duration.count()) * factor));
}

}  // namespace

std::uint64_t AdmissionController::Usable(const core::ServiceId& service,
                                          const core::ClientAccountId& account,
                                          std::uint64_t limit) const {
  // One key for all limits of an account: the process that holds a permit also holds a token and a
  // queue place.
  return m_shares.Usable(limit, Key(service, account));
}

AdmissionController::AccountState& AdmissionController::Account(
    core::Instant now, const core::ServiceId& id, ServiceState& service,
    const core::ClientAccountId& account) {
  const auto found =
      service.accounts.try_emplace(account, AccountState{0, TokenBucket(m_since)}).first;
  const AccountLimits& limits = service.limits.Of(account);
  const double rate =
      static_cast<double>(Usable(id, account, limits.rate * kRateScale)) / kRateScale;
  found->second.bucket.Refill(now, rate, static_cast<double>(Usable(id, account, limits.burst)));
  return found->second;
}

bool AdmissionController::MayStart(core::Instant now, const core::ServiceId& id,
                                   ServiceState& service, const core::ClientAccountId& account) {
  if (service.running >= m_shares.Usable(service.limits.concurrency, id.value())) return false;
  AccountState& state = Account(now, id, service, account);
  TokenBucket trial = state.bucket;
  return state.running < Usable(id, account, service.limits.Of(account).concurrency) &&
         trial.Take();
}

void AdmissionController::Start(core::Instant now, const core::ServiceId& id, ServiceState& service,
                                const QueuedRequest& item, Actions& out) {
  AccountState& account = Account(now, id, service, item.account);
  const bool taken = account.bucket.Take();
  assert(taken);
  static_cast<void>(taken);
  ++account.running;
  ++service.running;
  m_running.emplace(item.request, Running{id, item.account, now, item.work});
  out.emplace_back(StartRequest{item.request});
}

core::Duration AdmissionController::ExpectedWait(core::Instant now, const core::ServiceId& id,
                                                 ServiceState& service,
                                                 const RequestArrived& event) {
  const AccountLimits& limits = service.limits.Of(event.account);
  const AccountState& account = Account(now, id, service, event.account);
  const auto own = static_cast<double>(service.queue.SizeOf(event.account));
  const auto slots = static_cast<double>(m_shares.Usable(service.limits.concurrency, id.value()));
  const auto permits = static_cast<double>(Usable(id, event.account, limits.concurrency));
  const double rate =
      static_cast<double>(Usable(id, event.account, limits.rate * kRateScale)) / kRateScale;
  core::Duration wait{};
  if (static_cast<double>(service.running) >= slots) {
    const auto ahead = static_cast<double>(service.queue.AheadOf(event.account, event.priority));
    wait = Scaled(service.times.mean(), (ahead + 1) / std::max(1.0, slots));
  }
  if (static_cast<double>(account.running) >= permits) {
    wait = std::max(wait, Scaled(service.times.mean(), (own + 1) / std::max(1.0, permits)));
  }
  const double missing = own + 1 - account.bucket.tokens();
  if (missing > 0 && rate > 0) {
    wait = std::max(wait, Scaled(std::chrono::seconds(1), missing / rate));
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
  const AccountLimits& limits = service.limits.Of(event.account);
  const std::uint64_t permits = Usable(event.service, event.account, limits.concurrency);
  const std::uint64_t burst = Usable(event.service, event.account, limits.burst);
  if (permits == 0 || burst == 0 ||
      m_shares.Usable(service.limits.concurrency, event.service.value()) == 0) {
    out.emplace_back(
        RefuseRequest{event.request, RefusalReason::kNoShare, m_config.no_share_retry,
                      FirstHolder(Key(event.service, event.account), m_shares.members())});
    return;
  }

  const core::Duration run = service.times.Expect(event.work);
  const bool start = service.queue.SizeOf(event.account) == 0 &&
                     MayStart(now, event.service, service, event.account);
  const core::Duration wait =
      start ? core::Duration::zero() : ExpectedWait(now, event.service, service, event);
  if (event.deadline != core::Instant::max() && now + wait + run > event.deadline) {
    const core::Duration excess = std::max(now + wait + run - event.deadline, core::Duration(1));
    out.emplace_back(RefuseRequest{event.request, RefusalReason::kDeadline, excess, {}});
    return;
  }
  const QueuedRequest item{event.request,  event.account, event.priority,
                           event.deadline, now,           event.work};
  if (start) {
    Start(now, event.service, service, item, out);
    return;
  }
  if (service.queue.SizeOf(event.account) >= Usable(event.service, event.account, limits.queue)) {
    out.emplace_back(RefuseRequest{event.request, RefusalReason::kQueueFull, wait, {}});
    return;
  }
  service.queue.Push(item);
  out.emplace_back(QueueRequest{event.request, wait});
}

}  // namespace cornelrelay::limits
