#pragma once

#include <bitset>
#include <cstdint>
#include <map>
#include <set>
#include <utility>

#include "cornelrelay/core/ids.h"

namespace cornelrelay::wire {

/// \brief Rejects datagrams that were accepted before.
///
/// A window of the latest counters is kept for each sender's current incarnation. The number of
/// senders is bounded; the one that was silent longest is forgotten first.
/// \code
/// guard.Accept(datagram.sender, datagram.incarnation, datagram.counter);  // throws on replay
/// \endcode
class ReplayGuard {
 public:
  static constexpr std::size_t kWindow = 512;

  explicit ReplayGuard(std::size_t max_senders = 4096) : m_max_senders(max_senders) {}

  /// \brief Throws ReplayedDatagram or StaleIncarnation.
  void Accept(const core::HostId& sender, std::uint64_t incarnation, std::uint64_t counter);

  std::size_t senders() const { return m_senders.size(); }

 private:
  struct Window {
    std::uint64_t incarnation = 0;
    std::uint64_t highest = 0;
    std::bitset<kWindow> seen;  // bit i: counter highest - i
    std::uint64_t used = 0;
  };

  void Check(const Window& window, std::uint64_t incarnation, std::uint64_t counter) const;

  std::size_t m_max_senders;
  std::uint64_t m_uses = 0;
  std::map<core::HostId, Window> m_senders;
  std::set<std::pair<std::uint64_t, core::HostId>> m_by_use;
};

}  // namespace cornelrelay::wire
