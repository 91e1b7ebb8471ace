#include "cornelrelay/ranks/poll_rota.h"

#include <algorithm>

namespace cornelrelay::ranks {

std::vector<core::Endpoint> PollRota::Next(std::size_t most) {
  std::vector<core::Endpoint> turn;
  for (std::size_t left = std::min(most, m_members.size()); left > 0; --left) {
    turn.push_back(m_members[m_next++ % m_members.size()]);
  }
  return turn;
}

}  // namespace cornelrelay::ranks
