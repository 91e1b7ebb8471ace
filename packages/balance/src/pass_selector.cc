#include "cornelrelay/balance/pass_selector.h"

namespace cornelrelay::balance {

StepIndex PassSelector::Select(core::Instant now, const RankStateTable& ranks,
                               RankIndex hold_rank) const {
  const bool extended =
      m_last_unanswered && now - *m_last_unanswered < m_config.extended_lead_period;
  const core::Duration lead = extended ? m_config.extended_lead_time : m_config.lead_time;
  const auto passes = static_cast<StepIndex>(lead / ranks.pass_time());
  StepIndex step = ranks.ExpectedStep(now) + 1 + passes;
  while (WasReleased(hold_rank, step)) ++step;
  return step;
}

}  // namespace cornelrelay::balance
