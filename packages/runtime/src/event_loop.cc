#include "cornelrelay/runtime/event_loop.h"

#include <exception>

namespace cornelrelay::runtime {

void EventLoop::Run() {
  while (!stopped()) {
    try {
      run();
    } catch (const std::exception& error) {
      m_log.Error("handler_failed", {{"reason", error.what()}});
    }
  }
}

}  // namespace cornelrelay::runtime
