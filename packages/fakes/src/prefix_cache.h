#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <list>
#include <set>
#include <utility>
#include <vector>

namespace cornelrelay::fakes::internal {

/// \brief Least-recently-used cache of prompt prefixes that publishes its changes with gaps.
class PrefixCache {
 public:
  struct Event {
    std::uint64_t sequence;
    std::uint64_t prefix;
    bool stored;
  };

  explicit PrefixCache(std::size_t capacity) : m_capacity(capacity) {}

  /// \return whether the prefix was cached
  bool Touch(std::uint64_t prefix) {
    const bool hit = Contains(prefix);
    m_order.remove(prefix);
    m_order.push_front(prefix);
    if (!hit) Publish(prefix, true);
    while (m_order.size() > m_capacity) {
      Publish(m_order.back(), false);
      m_order.pop_back();
    }
    return hit;
  }

  std::vector<Event> Since(std::uint64_t sequence) const {
    std::vector<Event> events;
    for (const auto& event : m_events) {
      if (event.sequence > sequence) events.push_back(event);
    }
    return events;
  }

 private:
  // Every eighth event is lost, as the engines' event streams have gaps.
  static constexpr std::uint64_t kLostEvery = 8;
  static constexpr std::size_t kKeptEvents = 256;

  bool Contains(std::uint64_t prefix) const {
    for (const auto cached : m_order) {
      if (cached == prefix) return true;
    }
    return false;
  }

  void Publish(std::uint64_t prefix, bool stored) {
    ++m_sequence;
    if (m_sequence % kLostEvery == 0) return;
    m_events.push_back({m_sequence, prefix, stored});
    if (m_events.size() > kKeptEvents) m_events.pop_front();
  }

  std::size_t m_capacity;
  std::list<std::uint64_t> m_order;
  std::deque<Event> m_events;
  std::uint64_t m_sequence = 0;
};

}  // namespace cornelrelay::fakes::internal
