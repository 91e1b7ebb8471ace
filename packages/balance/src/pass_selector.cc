#include "cornelrelay/balance/pass_selector.h"

#include <algorithm>

namespace cornelrelay::balance {

void PassSelector::RecordHoldTime(core::Duration time) {
  if (m_hold_time == core::Duration::zero()) {
    m_hold_time = time;
    return;
  }
  m_hold_time += core::Duration(static_cast<core::Duration::rep>(
      m_config.hold_time_gain * static_cast<double>((time - m_hold_time).count())));
}

bool PassSelector::WasReleasedAtAll(StepIndex step, RankIndex ranks) const {
  for (RankIndex rank = 0; rank < ranks; ++rank) {
    if (!WasReleased(rank, step)) return false;
  }
  return true;
}

StepIndex PassSelector::Select(core::Instant now, const RankStateTable& ranks,
                               RankIndex hold_rank) const {
  const bool extended =
      m_last_unanswered && now - *m_last_unanswered < m_config.extended_lead_period;
  const core::Duration usual = std::clamp(m_hold_time, m_config.lead_time, m_config.max_lead_time);
  const core::Duration lead = extended ? std::max(usual, m_config.extended_lead_time) : usual;
  const auto passes = static_cast<StepIndex>(lead / ranks.pass_time());
  StepIndex step = ranks.ExpectedStep(now) + 1 + passes;
  while (WasReleased(hold_rank, step)) ++step;
  return step;
}

}  // namespace cornelrelay::balance
