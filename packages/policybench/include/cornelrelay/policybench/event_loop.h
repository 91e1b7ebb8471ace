#pragma once

#include <cstdint>
#include <functional>
#include <queue>
#include <vector>

#include "cornelrelay/core/time.h"

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
  struct Entry {
    core::Instant when;
    std::uint64_t order = 0;
    Handler handler;
  };
  struct Later {
    bool operator()(const Entry& a, const Entry& b) const {
      return a.when != b.when ? a.when > b.when : a.order > b.order;
    }
  };

  std::priority_queue<Entry, std::vector<Entry>, Later> m_queue;
  std::uint64_t m_order = 0;
};

}  // namespace cornelrelay::policybench
