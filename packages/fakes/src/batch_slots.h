#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <cstddef>
#include <map>
#include <memory>
#include <utility>

namespace cornelrelay::fakes::internal {

/// \brief Slots of a continuous batch; waiting requests get them by priority, then in order of
/// arrival.
class BatchSlots {
 public:
  explicit BatchSlots(std::size_t slots) : m_free(slots) {}

  std::size_t running() const { return m_running; }
  std::size_t waiting() const { return m_waiting.size(); }

  boost::asio::awaitable<void> Acquire(boost::asio::any_io_executor executor, int priority) {
    if (m_free == 0) {
      boost::asio::steady_timer turn(executor, boost::asio::steady_timer::time_point::max());
      const auto place = m_waiting.emplace(std::make_pair(-priority, m_arrivals++), &turn).first;
      boost::system::error_code ec;
      co_await turn.async_wait(boost::asio::redirect_error(boost::asio::use_awaitable, ec));
      m_waiting.erase(place);
    } else {
      --m_free;
    }
    ++m_running;
  }

  void Release() {
    --m_running;
    for (auto& [order, turn] : m_waiting) {
      // Cancelling returns 0 when this waiter was woken already.
      if (turn->cancel() > 0) return;
    }
    ++m_free;
  }

 private:
  std::size_t m_free;
  std::size_t m_running = 0;
  std::size_t m_arrivals = 0;
  std::map<std::pair<int, std::size_t>, boost::asio::steady_timer*> m_waiting;
};

}  // namespace cornelrelay::fakes::internal
