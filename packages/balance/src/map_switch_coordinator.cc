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
  std::visit([&](const auto& e) { On(now, e, out); }, event);
  ProposeWanted(out);
  return out;
}

void MapSwitchCoordinator::On(core::Instant /*now*/, const LeaseAcquired& event, Actions& out) {
  m_fence = event.fence;
  m_own_plan = 0;
  m_record = {};
  Read(out);
}

void MapSwitchCoordinator::On(core::Instant /*now*/, const LeaseLost& event, Actions& /*out*/) {
  if (event.fence != m_fence) return;
  m_phase = Phase::kNoLease;
  m_call = 0;
  m_wanted.reset();
}

void MapSwitchCoordinator::On(core::Instant /*now*/, const SwitchWanted& event, Actions& /*out*/) {
  if (m_phase != Phase::kNoLease) m_wanted = event.map;
}

void MapSwitchCoordinator::ProposeWanted(Actions& out) {
  if (m_phase != Phase::kReady || !m_wanted || m_live.size() < m_settings.ranks) return;
  // The switch step lies after the switch of the last plan, which some ranks may not have reached
  // yet.
  const StepIndex after = std::max(m_step, m_record.switch_at);
  PlanRecord proposal = m_record.Propose(m_fence, *m_wanted, after + m_settings.lead_steps);
  m_wanted.reset();
  Swap(Phase::kProposing, std::move(proposal), out);
}

void MapSwitchCoordinator::On(core::Instant /*now*/, const PlanConfirmed& event, Actions& out) {
  if (m_phase != Phase::kPreparing || event.plan != m_record.number) return;
  if (!event.accepted) {
    Decide(false, out);
    return;
  }
  m_confirmed.insert(event.rank);
  const std::size_t quorum = m_faults.skip_confirmation ? 1 : m_settings.ranks;
  if (m_confirmed.size() >= quorum) Decide(true, out);
}

void MapSwitchCoordinator::On(core::Instant /*now*/, const RankProgress& event, Actions& out) {
  if (event.live) {
    m_live.insert(event.rank);
  } else {
    m_live.erase(event.rank);
  }
  m_step = std::max(m_step, event.step);
  CheckHealth(out);
  // The weights of a dead rank are gone, and its restart may take longer than the group should
  // hold.
  if (!event.live && m_phase == Phase::kPreparing) Decide(false, out);
}

void MapSwitchCoordinator::On(core::Instant now, const PlanRead& event, Actions& out) {
  if (event.call != m_call || m_phase != Phase::kReading) return;
  m_call = 0;
  Adopt(now, event.record, event.revision, out);
}

void MapSwitchCoordinator::On(core::Instant now, const PlanSwapped& event, Actions& out) {
  if (event.call != m_call) return;
  m_call = 0;
  if (!event.swapped) {
    Read(out);
    return;
  }
  const PlanRecord record = std::move(*m_swapping);
  m_swapping.reset();
  Adopt(now, record, event.revision, out);
}

void MapSwitchCoordinator::On(core::Instant now, const PlanCallLost& event, Actions& /*out*/) {
  if (event.call != m_call) return;
  // The swap may have taken effect: the record is read back, and Adopt() recognises the own plan.
  m_call = 0;
  m_phase = Phase::kWaiting;
  m_wait_until = now + m_settings.resend_after;
}

void MapSwitchCoordinator::On(core::Instant now, const CoordinatorTick& /*event*/, Actions& out) {
  if ((m_phase == Phase::kWaiting || m_phase == Phase::kReady) && now >= m_wait_until) {
    // A proposal whose answer was lost may take effect after its read-back, and somebody must
    // decide it.
    Read(out);
  } else if (m_phase == Phase::kPreparing) {
    if (now >= m_prepare_until) {
      Decide(false, out);
    } else {
      SendPrepares(now, out);
    }
  }
}

void MapSwitchCoordinator::Read(Actions& out) {
  m_phase = Phase::kReading;
  m_call = m_next_call++;
  out.emplace_back(ReadPlan{m_call});
}

void MapSwitchCoordinator::Swap(Phase phase, PlanRecord record, Actions& out) {
  m_phase = phase;
  m_call = m_next_call++;
  if (record.state == PlanState::kProposed) m_own_plan = record.number;
  m_swapping = std::move(record);
  out.emplace_back(SwapPlan{m_call, m_revision, *m_swapping});
}

void MapSwitchCoordinator::Decide(bool commit, Actions& out) {
  Swap(Phase::kDeciding, m_record.Decide(m_fence, commit), out);
}

void MapSwitchCoordinator::Adopt(core::Instant now, const PlanRecord& record, PlanRevision revision,
                                 Actions& out) {
  const bool news = record.NewerThan(m_record);
  m_record = record;
  m_revision = revision;
  if (record.fence > m_fence) {
    m_phase = Phase::kNoLease;
    m_wanted.reset();
    return;
  }
  CheckHealth(out);
  if (record.state != PlanState::kProposed) {
    if (record.fence < m_fence) {
      // After this write, a former coordinator that still believes in its lease can write nothing.
      PlanRecord claimed = record;
      claimed.fence = m_fence;
      m_record.number = 0;
      Swap(Phase::kClaiming, std::move(claimed), out);
      return;
    }
    m_phase = Phase::kReady;
    m_wait_until = now + m_settings.poll_every;
    if (!news) return;
    for (RankIndex rank = 0; rank < m_settings.ranks; ++rank) {
      out.emplace_back(SendDecision{rank, record});
    }
    if (record.number == m_own_plan) {
      out.emplace_back(PlanEnded{record.number, record.state == PlanState::kCommitted});
    }
    return;
  }
  const bool own = record.fence == m_fence && record.number == m_own_plan;
  if (!own || !news) {
    // A plan of a former coordinator, or an own plan whose decision is not in force: nothing is
    // lost by an abort.
    Decide(false, out);
    return;
  }
  m_phase = Phase::kPreparing;
  m_confirmed.clear();
  m_prepare_at.clear();
  m_prepare_until = now + m_settings.prepare_timeout;
  core::Instant at = now;
  for (RankIndex rank = 0; rank < m_settings.ranks; ++rank) {
    m_prepare_at[rank] = at;
    std::set<ExpertIndex> loads = record.next.ExpertsOn(rank);
    for (const ExpertIndex expert : record.base.ExpertsOn(rank)) loads.erase(expert);
    const double bytes = static_cast<double>(loads.size() * m_settings.expert_bytes);
    const double seconds = bytes / static_cast<double>(m_settings.weight_bytes_per_second);
    at += std::chrono::duration_cast<core::Duration>(std::chrono::duration<double>(seconds));
  }
  SendPrepares(now, out);
}

void MapSwitchCoordinator::SendPrepares(core::Instant now, Actions& out) {
  for (auto& [rank, at] : m_prepare_at) {
    if (now < at || m_confirmed.contains(rank)) continue;
    out.emplace_back(SendPrepare{rank, PreparePlan{m_fence, m_record}});
    at = now + m_settings.resend_after;
  }
}

void MapSwitchCoordinator::CheckHealth(Actions& out) {
  // Both maps of an undecided or not yet reached switch are in use somewhere.
  std::set<ExpertIndex> unserved = m_record.base.Unserved(m_live);
  if (m_record.state == PlanState::kCommitted) {
    if (m_step >= m_record.switch_at) unserved.clear();
    unserved.merge(m_record.next.Unserved(m_live));
  }
  if (unserved == m_unserved) return;
  m_unserved = unserved;
  out.emplace_back(ReportHealth{std::move(unserved)});
}

}  // namespace cornelrelay::balance
