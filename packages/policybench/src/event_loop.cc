#include "cornelrelay/policybench/event_loop.h"

#include <utility>

namespace cornelrelay::policybench {

void EventLoop::At(core::Instant when, Handler handler) { m_queue.Push(when, std::move(handler)); }

void EventLoop::RunUntil(core::Instant end) {
  m_queue.RunUntil(end, [this](const Handler& handler) { handler(m_queue.now()); });
}

}  // namespace cornelrelay::policybench
