#pragma once

#include <functional>

#include "cornelrelay/core/time.h"
#include "cornelrelay/core/timed_queue.h"

namespace cornelrelay::policybench {

/// \brief Discrete-event loop over logical time; events of one instant run in the order of their
/// scheduling.
///
/// \code
/// loop.At(now + delay, [&](core::Instant at) { ... });
/// loop.RunUntil(end);
/// \endcode
class EventLoop {
 public:
  using Handler = std::function<void(core::Instant)>;

  void At(core::Instant when, Handler handler);
  void RunUntil(core::Instant end);

 private:
  core::TimedQueue<Handler> m_queue;
};

}  // namespace cornelrelay::policybench
