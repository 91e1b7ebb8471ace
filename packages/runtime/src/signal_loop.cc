#include "cornelrelay/runtime/signal_loop.h"

#include <utility>

namespace cornelrelay::runtime {

SignalLoop::SignalLoop(boost::asio::io_context& context, std::initializer_list<int> signals,
                       std::function<void(int)> on_signal)
    : m_signals(context), m_on_signal(std::move(on_signal)) {
  for (const int signal : signals) m_signals.add(signal);
  Wait();
}

void SignalLoop::Wait() {
  m_signals.async_wait([this](const boost::system::error_code& ec, int signal) {
    if (ec) return;  // destroyed
    // First, as a handler that throws must not end the wait for further signals.
    Wait();
    m_on_signal(signal);
  });
}

}  // namespace cornelrelay::runtime
