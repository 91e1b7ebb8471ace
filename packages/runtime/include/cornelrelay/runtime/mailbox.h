#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <chrono>
#include <deque>
#include <optional>
#include <utility>

namespace cornelrelay::runtime {

/// \brief Events for one task; producers can wait until the task has taken all of them.
///
/// \code
/// mailbox.Push(event);            // any callback of the same io_context
/// co_await mailbox.UntilTaken();  // back-pressure for a producer
/// co_await mailbox.WaitUntil(time);
/// while (auto event = mailbox.Pop()) Handle(*event);
/// \endcode
template <class Event>
class Mailbox {
 public:
  using TimePoint = std::chrono::steady_clock::time_point;

  explicit Mailbox(boost::asio::io_context& context) : m_arrived(context), m_taken(context) {}

  void Push(Event event) {
    if (m_closed) return;
    m_events.push_back(std::move(event));
    m_untaken = true;
    m_arrived.cancel();
  }

  std::optional<Event> Pop() {
    if (m_events.empty()) return std::nullopt;
    std::optional<Event> event(std::move(m_events.front()));
    m_events.pop_front();
    return event;
  }

  /// \brief Tells waiting producers that everything pushed so far has been handled.
  void MarkTaken() {
    if (!m_events.empty()) return;
    m_untaken = false;
    m_taken.cancel();
  }

  /// \brief Returns when there is an event or the time has come.
  boost::asio::awaitable<void> WaitUntil(TimePoint time) {
    if (!m_events.empty()) co_return;
    m_arrived.expires_at(time);
    boost::system::error_code ec;
    co_await m_arrived.async_wait(boost::asio::redirect_error(boost::asio::use_awaitable, ec));
  }

  /// \brief Returns when the task has handled everything pushed so far.
  ///
  /// A producer may have pushed nothing since, for example after reading a part of an event; then
  /// no MarkTaken() would come to wake it.
  boost::asio::awaitable<void> UntilTaken() {
    if (m_closed || !m_untaken) co_return;
    m_taken.expires_at(TimePoint::max());
    boost::system::error_code ec;
    co_await m_taken.async_wait(boost::asio::redirect_error(boost::asio::use_awaitable, ec));
  }

  /// \brief Drops all events, present and later, and releases waiting producers.
  void Close() {
    m_closed = true;
    m_events.clear();
    m_taken.cancel();
  }

  bool closed() const { return m_closed; }

 private:
  boost::asio::steady_timer m_arrived;
  boost::asio::steady_timer m_taken;
  std::deque<Event> m_events;
  bool m_untaken = false;  ///< pushed events whose handling MarkTaken() has not yet told
  bool m_closed = false;
};

}  // namespace cornelrelay::runtime
