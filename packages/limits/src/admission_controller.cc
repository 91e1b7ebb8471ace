#include "cornelrelay/limits/admission_controller.h"

#include <algorithm>
#include <cassert>
#include <utility>

namespace cornelrelay::limits {

AdmissionController::AdmissionController(AdmissionConfig config)
    : m_config(std::move(config)), m_shares(m_config.shares) {
  if (m_config.shares.fault == AdmissionFault::kAgingOff) m_config.queue.aging.reset();
}

std::vector<AdmissionAction> AdmissionController::Step(core::Instant now,
                                                       const AdmissionEvent& event) {
  Actions out;
  std::visit([&](const auto& e) { Apply(now, e, out); }, event);
  return out;
}

void AdmissionController::Apply(core::Instant now, const RequestFinished& event, Actions& out) {
  Release(now, event.request, event.completed, out);
}

void AdmissionController::Apply(core::Instant now, const RequestCancelled& event, Actions& out) {
  for (auto& [id, service] : m_services) {
    if (service.queue.Remove(event.request)) return;
  }
  Release(now, event.request, false, out);
}

void AdmissionController::Release(core::Instant now, const core::RequestId& request,
                                  bool record_time, Actions& out) {
  const auto found = m_running.find(request);
  if (found == m_running.end()) return;
  const RunningRequest run = found->second;
  m_running.erase(found);
  ServiceState& service = m_services.at(run.service);
  AccountState& account = RefillAccount(now, run.service, service, run.account);
  assert(service.running > 0 && account.running > 0);
  --service.running;
  --account.running;
  if (record_time) service.service_time.AddSample(now - run.started, run.work);
  ConfirmIfWithinTargets(now, out);
  StartQueued(now, run.service, service, out);
}

void AdmissionController::Apply(core::Instant now, const MembersChanged& event, Actions& out) {
  // An entry process sends this event for each member record, so most events change nothing.
  std::vector<Member> members = event.members;
  std::sort(members.begin(), members.end());
  if (members == m_shares.members()) return;
  RefillAllBuckets(now);
  if (!m_shares.SetView(now, std::move(members))) return;
  ConfirmIfWithinTargets(now, out);
  StartAllQueued(now, out);
}

void AdmissionController::Apply(core::Instant now, const ConfirmationReceived& event,
                                Actions& out) {
  const bool was_settled = m_shares.settled();
  if (!was_settled) {
    // Refilling ranks all members for each account, which takes 12 ms for 500 accounts and 350
    // members. A view needs a confirmation of each member, but only the one that settles it changes
    // a share. Applying the confirmation to a copy first shows whether it settles the view.
    ShareTracker next = m_shares;
    next.ReceiveConfirmation(now, event.member, event.view, event.standing, event.sequence);
    if (next.settled()) RefillAllBuckets(now);
  }
  m_shares.ReceiveConfirmation(now, event.member, event.view, event.standing, event.sequence);
  HandleSettled(now, was_settled, out);
  if (m_shares.settled() && !was_settled) StartAllQueued(now, out);
}

void AdmissionController::Apply(core::Instant now, const LimitsChanged& event, Actions& out) {
  const auto [found, inserted] =
      m_services.try_emplace(event.service, ServiceState{.queue = FairQueue(m_config.queue)});
  found->second.limits = event.limits;
  ConfirmIfWithinTargets(now, out);
  StartQueued(now, event.service, found->second, out);
}

void AdmissionController::Apply(core::Instant now, const TickElapsed&, Actions& out) {
  const bool was_settled = m_shares.settled();
  if (!was_settled) RefillAllBuckets(now);
  m_shares.Tick(now);
  HandleSettled(now, was_settled, out);
  for (auto& [id, service] : m_services) {
    const auto late = service.queue.RemoveIf(
        [&, &service_time = service.service_time](const QueuedRequest& item) {
          return item.deadline != core::Instant::max() &&
                 now + service_time.Estimate(item.work) > item.deadline;
        });
    for (const QueuedRequest& item : late) {
      out.emplace_back(
          RefuseRequest{item.request, RefusalReason::kDeadline, service.service_time.mean(), {}});
    }
  }
  StartAllQueued(now, out);
  // The state of an idle account with a full bucket holds nothing that must be kept.
  for (auto& [id, service] : m_services) {
    std::erase_if(service.accounts, [&, &sid = id, &limits = service.limits](const auto& entry) {
      const double burst =
          static_cast<double>(UsableShare(sid, entry.first, limits.ForAccount(entry.first).burst));
      return entry.second.running == 0 && entry.second.bucket.tokens() >= burst;
    });
  }
}

void AdmissionController::RefillAllBuckets(core::Instant now) {
  // Called before the shares change, so that the time until then earns tokens at the old rate.
  for (auto& [id, service] : m_services) {
    for (const auto& [account, state] : service.accounts) RefillAccount(now, id, service, account);
  }
}

void AdmissionController::HandleSettled(core::Instant now, bool was_settled, Actions& out) {
  if (!m_shares.settled() || was_settled) return;
  // When members left, this process's shares may have grown. Buckets created later must not start
  // with the burst of a process that is gone, so they fill from now on.
  if (m_shares.members().size() <= m_settled_member_count || m_settled_member_count == 0) {
    m_bucket_start = now;
  }
  // The confirmation before the first settling said that this process is new or an orphan. Others
  // may wait for a member that has settled, so the new standing is published.
  if (m_settled_member_count == 0) {
    out.emplace_back(PublishConfirmation{m_shares.view(), m_shares.standing()});
  }
  m_settled_member_count = m_shares.members().size();
}

void AdmissionController::StartAllQueued(core::Instant now, Actions& out) {
  for (auto& [id, service] : m_services) StartQueued(now, id, service, out);
}

void AdmissionController::StartQueued(core::Instant now, const core::ServiceId& id,
                                      ServiceState& service, Actions& out) {
  while (const auto item = service.queue.Pop(now, [&](const core::ClientAccountId& account) {
    return MayStart(now, id, service, account);
  })) {
    if (item->deadline != core::Instant::max() &&
        now + service.service_time.Estimate(item->work) > item->deadline) {
      out.emplace_back(
          RefuseRequest{item->request, RefusalReason::kDeadline, service.service_time.mean(), {}});
      continue;
    }
    Start(now, id, service, *item, out);
  }
}

bool AdmissionController::RunsWithinTargets() const {
  for (const auto& [id, service] : m_services) {
    if (service.running > m_shares.Target(service.limits.concurrency, id.value())) return false;
    for (const auto& [account, state] : service.accounts) {
      const std::string key = id.value() + '\n' + account.value();
      if (state.running > m_shares.Target(service.limits.ForAccount(account).concurrency, key)) {
        return false;
      }
    }
  }
  return true;
}

void AdmissionController::ConfirmIfWithinTargets(core::Instant now, Actions& out) {
  if (m_shares.confirmed() || m_shares.members().empty() || !RunsWithinTargets()) return;
  const bool was_settled = m_shares.settled();
  RefillAllBuckets(now);
  m_shares.Confirm(now);
  out.emplace_back(PublishConfirmation{m_shares.view(), m_shares.standing()});
  HandleSettled(now, was_settled, out);
}

}  // namespace cornelrelay::limits
