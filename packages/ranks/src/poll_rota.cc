#include "cornelrelay/ranks/poll_rota.h"

#include <algorithm>

namespace cornelrelay::ranks {

void PollRota::Add(const core::Endpoint& member) {
  m_members.insert(std::lower_bound(m_members.begin(), m_members.end(), member), member);
}

std::vector<core::Endpoint> PollRota::Next(std::size_t most) {
  std::vector<core::Endpoint> turn;
  for (std::size_t left = std::min(most, m_members.size()); left > 0; --left) {
    turn.push_back(m_members[m_next++ % m_members.size()]);
  }
  return turn;
}

std::vector<core::Endpoint> PollRota::Sample(std::size_t most) const {
  const std::size_t size = std::min(most, m_members.size());
  std::vector<core::Endpoint> sample;
  for (std::size_t i = 0; i < size; ++i) sample.push_back(m_members[i * m_members.size() / size]);
  return sample;
}

}  // namespace cornelrelay::ranks
