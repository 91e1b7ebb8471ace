#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <functional>
#include <initializer_list>

namespace cornelrelay::runtime {

/// \brief Calls a handler for each signal that the process gets, until it is destroyed.
///
/// \code
/// const SignalLoop signals(context, {SIGTERM, SIGINT}, [&](int) { process.Shutdown(); });
/// context.run();
/// \endcode
class SignalLoop {
 public:
  SignalLoop(boost::asio::io_context& context, std::initializer_list<int> signals,
             std::function<void(int signal)> on_signal);
  SignalLoop(const SignalLoop&) = delete;
  SignalLoop& operator=(const SignalLoop&) = delete;

 private:
  void Wait();

  boost::asio::signal_set m_signals;
  std::function<void(int)> m_on_signal;
};

}  // namespace cornelrelay::runtime
