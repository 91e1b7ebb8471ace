#include "cornelrelay/ranks/poll_schedule.h"

#include <algorithm>

namespace cornelrelay::ranks {

void PollSchedule::Add(const core::Endpoint& member) {
  m_members.insert(std::lower_bound(m_members.begin(), m_members.end(), member), member);
}

std::vector<core::Endpoint> PollSchedule::NextBatch(std::size_t max_count) {
  std::vector<core::Endpoint> batch;
  for (std::size_t remaining = std::min(max_count, m_members.size()); remaining > 0; --remaining) {
    batch.push_back(m_members[m_next++ % m_members.size()]);
  }
  return batch;
}

}  // namespace cornelrelay::ranks
