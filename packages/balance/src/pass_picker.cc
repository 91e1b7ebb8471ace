#include "cornelrelay/balance/pass_picker.h"

namespace cornelrelay::balance {

StepIndex PassPicker::Pick(core::Instant now, const RankBook& ranks, RankIndex anchor) const {
  const bool careful = m_unanswered && now - *m_unanswered < m_config.careful_for;
  const core::Duration lead = careful ? m_config.careful_lead_time : m_config.lead_time;
  const auto passes = static_cast<StepIndex>(lead / ranks.pass_time());
  StepIndex step = ranks.ExpectedStep(now) + 1 + passes;
  while (WasReleased(anchor, step)) ++step;
  return step;
}

}  // namespace cornelrelay::balance
