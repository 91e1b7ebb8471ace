#include "cornelrelay/wire/replay_guard.h"

#include "cornelrelay/wire/replayed_datagram.h"
#include "cornelrelay/wire/stale_incarnation.h"

namespace cornelrelay::wire {

void ReplayGuard::Check(const Window& window, std::uint64_t incarnation,
                        std::uint64_t counter) const {
  if (incarnation < window.incarnation) throw StaleIncarnation();
  if (incarnation > window.incarnation || counter > window.highest) return;
  const std::uint64_t behind = window.highest - counter;
  if (behind >= kWindow || window.seen.test(behind)) throw ReplayedDatagram();
}

void ReplayGuard::Accept(const core::HostId& sender, std::uint64_t incarnation,
                         std::uint64_t counter) {
  const auto [found, first] = m_senders.try_emplace(sender);
  Window& window = found->second;
  if (!first) {
    Check(window, incarnation, counter);
    m_by_use.erase({window.used, sender});
  }
  if (first || incarnation > window.incarnation) {
    window = Window{incarnation, counter, {}, 0};
  }
  if (counter > window.highest) {
    const std::uint64_t ahead = counter - window.highest;
    window.seen = ahead >= kWindow ? std::bitset<kWindow>() : window.seen << ahead;
    window.highest = counter;
  }
  window.seen.set(window.highest - counter);
  window.used = ++m_uses;
  m_by_use.emplace(window.used, sender);
  if (m_senders.size() > m_max_senders) {
    m_senders.erase(m_by_use.begin()->second);
    m_by_use.erase(m_by_use.begin());
  }
}

}  // namespace cornelrelay::wire
