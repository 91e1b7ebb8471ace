#include "cornelrelay/policybench/event_loop.h"

#include <utility>

namespace cornelrelay::policybench {

void EventLoop::At(core::Instant when, Handler handler) {
  m_queue.push(Entry{when, m_order++, std::move(handler)});
}

void EventLoop::RunUntil(core::Instant end) {
  while (!m_queue.empty() && m_queue.top().when <= end) {
    const Entry entry = m_queue.top();
    m_queue.pop();
    entry.handler(entry.when);
  }
}

}  // namespace cornelrelay::policybench
