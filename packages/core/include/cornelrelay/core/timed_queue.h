#pragma once

#include <cstdint>
#include <queue>
#include <utility>
#include <vector>

#include "cornelrelay/core/time.h"

namespace cornelrelay::core {

/// \brief Events over logical time; those of one instant come in the order in which they were
/// pushed.
///
/// \code
/// queue.Push(queue.now() + delay, event);
/// queue.RunUntil(end, [&](const Event& event) { Handle(event); });
/// \endcode
template <class Event>
class TimedQueue {
 public:
  Instant now() const { return m_now; }

  void Push(Instant when, Event event) { m_queue.push(Entry{when, m_pushed++, std::move(event)}); }

  /// \brief Hands out all events up to `end`, also those that are pushed meanwhile. Then it is
  /// `end`.
  template <class Handler>
  void RunUntil(Instant end, Handler handle) {
    while (!m_queue.empty() && m_queue.top().when <= end) {
      const Entry entry = m_queue.top();
      m_queue.pop();
      m_now = entry.when;
      handle(entry.event);
    }
    m_now = end;
  }

 private:
  struct Entry {
    Instant when;
    std::uint64_t order = 0;
    Event event;
  };
  struct Later {
    bool operator()(const Entry& a, const Entry& b) const {
      return a.when != b.when ? a.when > b.when : a.order > b.order;
    }
  };

  std::priority_queue<Entry, std::vector<Entry>, Later> m_queue;
  std::uint64_t m_pushed = 0;
  Instant m_now{};
};

}  // namespace cornelrelay::core
