#include "cornelrelay/balance/map_switch_coordinator.h"

#include <algorithm>
#include <cassert>
#include <utility>

namespace cornelrelay::balance {

MapSwitchCoordinator::MapSwitchCoordinator(CoordinatorSettings settings, BalanceFaults faults)
    : m_settings(settings), m_faults(faults) {
  assert(settings.ranks > 0 && settings.weight_bytes_per_second > 0 && settings.lead_steps > 0);
}

std::vector<CoordinatorAction> MapSwitchCoordinator::Step(core::Instant now,
                                                          const CoordinatorEvent& event) {
  Actions out;
  std::visit([&](const auto& e) { Handle(now, e, out); }, event);
  ProposeRequested(out);
  return out;
}

void MapSwitchCoordinator::Handle(core::Instant /*now*/, const LeaseAcquired& event, Actions& out) {
  m_fence = event.fence;
  m_own_plan = 0;
  m_record = {};
  ReadRecord(out);
}

void MapSwitchCoordinator::Handle(core::Instant /*now*/, const LeaseLost& event, Actions& /*out*/) {
  if (event.fence != m_fence) return;
  m_phase = Phase::kNoLease;
  m_pending_call = 0;
  m_requested_map.reset();
}

void MapSwitchCoordinator::Handle(core::Instant /*now*/, const SwitchRequested& event,
                                  Actions& /*out*/) {
  if (m_phase != Phase::kNoLease) m_requested_map = event.map;
}

void MapSwitchCoordinator::ProposeRequested(Actions& out) {
  if (m_phase != Phase::kReady || !m_requested_map || m_live.size() < m_settings.ranks) return;
  // The switch step lies after the switch of the last plan, which some ranks may not have reached
  // yet.
  const StepIndex after = std::max(m_latest_step, m_record.switch_at);
  PlanRecord proposal = m_record.Propose(m_fence, *m_requested_map, after + m_settings.lead_steps);
  m_requested_map.reset();
  SwapRecord(Phase::kProposing, std::move(proposal), out);
}

void MapSwitchCoordinator::Handle(core::Instant /*now*/, const PlanConfirmed& event, Actions& out) {
  if (m_phase != Phase::kPreparing || event.plan != m_record.number) return;
  if (!event.accepted) {
    Decide(false, out);
    return;
  }
  m_confirmed.insert(event.rank);
  const std::size_t required = m_faults.skip_confirmation ? 1 : m_settings.ranks;
  if (m_confirmed.size() >= required) Decide(true, out);
}

void MapSwitchCoordinator::Handle(core::Instant /*now*/, const RankProgress& event, Actions& out) {
  if (event.live) {
    m_live.insert(event.rank);
  } else {
    m_live.erase(event.rank);
  }
  m_latest_step = std::max(m_latest_step, event.step);
  ReportHealthChange(out);
  // The weights of a dead rank are gone, and its restart may take longer than the group should be
  // held.
  if (!event.live && m_phase == Phase::kPreparing) Decide(false, out);
}

void MapSwitchCoordinator::Handle(core::Instant now, const PlanRead& event, Actions& out) {
  if (event.call != m_pending_call || m_phase != Phase::kReading) return;
  m_pending_call = 0;
  Adopt(now, event.record, event.revision, out);
}

void MapSwitchCoordinator::Handle(core::Instant now, const PlanSwapped& event, Actions& out) {
  if (event.call != m_pending_call) return;
  m_pending_call = 0;
  if (!event.swapped) {
    ReadRecord(out);
    return;
  }
  const PlanRecord record = std::move(*m_pending_record);
  m_pending_record.reset();
  Adopt(now, record, event.revision, out);
}

void MapSwitchCoordinator::Handle(core::Instant now, const PlanCallLost& event, Actions& /*out*/) {
  if (event.call != m_pending_call) return;
  // The swap may have taken effect: the record is read back, and Adopt() recognises this
  // coordinator's plan.
  m_pending_call = 0;
  m_phase = Phase::kWaiting;
  m_next_read_at = now + m_settings.resend_interval;
}

void MapSwitchCoordinator::Handle(core::Instant now, const CoordinatorTick& /*event*/,
                                  Actions& out) {
  if ((m_phase == Phase::kWaiting || m_phase == Phase::kReady) && now >= m_next_read_at) {
    // The record is also polled in kReady. The swap of a proposal whose answer was lost may take
    // effect after the record was read back, and the plan must then be decided.
    ReadRecord(out);
  } else if (m_phase == Phase::kPreparing) {
    if (now >= m_prepare_deadline) {
      Decide(false, out);
    } else {
      SendPrepares(now, out);
    }
  }
}

void MapSwitchCoordinator::ReadRecord(Actions& out) {
  m_phase = Phase::kReading;
  m_pending_call = m_next_call++;
  out.emplace_back(ReadPlan{m_pending_call});
}

void MapSwitchCoordinator::SwapRecord(Phase phase, PlanRecord record, Actions& out) {
  m_phase = phase;
  m_pending_call = m_next_call++;
  if (record.state == PlanState::kProposed) m_own_plan = record.number;
  m_pending_record = std::move(record);
  out.emplace_back(SwapPlan{m_pending_call, m_revision, *m_pending_record});
}

void MapSwitchCoordinator::Decide(bool commit, Actions& out) {
  SwapRecord(Phase::kDeciding, m_record.Decide(m_fence, commit), out);
}

void MapSwitchCoordinator::Adopt(core::Instant now, const PlanRecord& record, PlanRevision revision,
                                 Actions& out) {
  const bool is_newer = record.IsNewerThan(m_record);
  m_record = record;
  m_revision = revision;
  if (record.fence > m_fence) {
    m_phase = Phase::kNoLease;
    m_requested_map.reset();
    return;
  }
  ReportHealthChange(out);
  if (record.state != PlanState::kProposed) {
    if (record.fence < m_fence) {
      // After this write, every write of a former coordinator fails, even if that coordinator has
      // not noticed the loss of its lease.
      PlanRecord claimed = record;
      claimed.fence = m_fence;
      m_record.number = 0;
      SwapRecord(Phase::kClaiming, std::move(claimed), out);
      return;
    }
    m_phase = Phase::kReady;
    m_next_read_at = now + m_settings.poll_interval;
    if (!is_newer) return;
    for (RankIndex rank = 0; rank < m_settings.ranks; ++rank) {
      out.emplace_back(SendDecision{rank, record});
    }
    if (record.number == m_own_plan) {
      out.emplace_back(PlanEnded{record.number, record.state == PlanState::kCommitted});
    }
    return;
  }
  const bool own = record.fence == m_fence && record.number == m_own_plan;
  if (!own || !is_newer) {
    // The plan is that of a former coordinator, or one of this coordinator whose decision is not in
    // force. Nothing is lost by an abort.
    Decide(false, out);
    return;
  }
  m_phase = Phase::kPreparing;
  m_confirmed.clear();
  m_next_prepare_at.clear();
  m_prepare_deadline = now + m_settings.prepare_timeout;
  core::Instant at = now;
  for (RankIndex rank = 0; rank < m_settings.ranks; ++rank) {
    m_next_prepare_at[rank] = at;
    std::set<ExpertIndex> loads = record.next.ExpertsOn(rank);
    for (const ExpertIndex expert : record.base.ExpertsOn(rank)) loads.erase(expert);
    const double bytes = static_cast<double>(loads.size() * m_settings.expert_bytes);
    const double seconds = bytes / static_cast<double>(m_settings.weight_bytes_per_second);
    at += std::chrono::duration_cast<core::Duration>(std::chrono::duration<double>(seconds));
  }
  SendPrepares(now, out);
}

void MapSwitchCoordinator::SendPrepares(core::Instant now, Actions& out) {
  for (auto& [rank, at] : m_next_prepare_at) {
    if (now < at || m_confirmed.contains(rank)) continue;
    out.emplace_back(SendPrepare{rank, PreparePlan{m_fence, m_record}});
    at = now + m_settings.resend_interval;
  }
}

void MapSwitchCoordinator::ReportHealthChange(Actions& out) {
  // Until a committed switch is reached, ranks may use either of its maps. While a plan is
  // undecided, its base map is in use.
  std::set<ExpertIndex> unserved = m_record.base.UnservedExperts(m_live);
  if (m_record.state == PlanState::kCommitted) {
    if (m_latest_step >= m_record.switch_at) unserved.clear();
    unserved.merge(m_record.next.UnservedExperts(m_live));
  }
  if (unserved == m_unserved) return;
  m_unserved = unserved;
  out.emplace_back(ReportHealth{std::move(unserved)});
}

}  // namespace cornelrelay::balance
