#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <functional>
#include <memory>
#include <utility>

#include "cornelrelay/runtime/process_clock.h"

namespace cornelrelay::runtime {

/// \brief Calls a function at the time that a state machine asks for; setting it again replaces the
/// time.
///
/// \code
/// WakeTimer timer(context, clock, [this] { Tick(); });
/// timer.SetAt(machine.NextWake());
/// \endcode
class WakeTimer {
 public:
  WakeTimer(boost::asio::io_context& context, const ProcessClock& clock,
            std::function<void()> on_wake)
      : m_clock(clock),
        m_timer(context),
        m_on_wake(std::make_shared<std::function<void()>>(std::move(on_wake))) {}

  void SetAt(core::Instant time) {
    m_timer.expires_at(m_clock.ToSteady(time));
    // The shared function outlives the timer for a handler that is already queued.
    m_timer.async_wait(
        [this, alive = std::weak_ptr(m_on_wake)](const boost::system::error_code& ec) {
          const auto on_wake = alive.lock();
          if (!ec && on_wake) Wake(*on_wake, alive);
        });
  }

  void Cancel() { m_timer.cancel(); }

 private:
  /// Time until the next call after one that threw before it could set the timer again.
  static constexpr std::chrono::milliseconds kRetryDelay{100};

  void Wake(const std::function<void()>& on_wake,
            const std::weak_ptr<std::function<void()>>& alive) {
    try {
      on_wake();
    } catch (...) {
      // The caller holds the function too; the timer may be gone.
      if (alive.use_count() > 1) SetAt(m_clock.Now() + kRetryDelay);
      throw;
    }
  }

  const ProcessClock& m_clock;
  boost::asio::steady_timer m_timer;
  std::shared_ptr<std::function<void()>> m_on_wake;
};

}  // namespace cornelrelay::runtime
