#pragma once

#include <boost/asio/io_context.hpp>

#include "cornelrelay/telemetry/json_log.h"

namespace cornelrelay::runtime {

/// \brief The io_context of a process, which goes on after a handler that throws.
///
/// An exception that leaves a handler is a fault of this program. It ends what the handler was
/// doing, not the requests of all other callers.
///
/// \code
/// EventLoop loop(log);
/// Process process(loop);
/// BOOST_SCOPE_EXIT_ALL(&loop) { loop.DiscardHandlers(); };
/// loop.Run();
/// \endcode
class EventLoop : public boost::asio::io_context {
 public:
  explicit EventLoop(telemetry::JsonLog& log) : io_context(1), m_log(log) {}

  /// \brief Runs handlers until stop() is called or none is left. Logs the exceptions that leave
  /// them.
  void Run();

  /// \brief Destroys the handlers and coroutines that still wait. To be called after Run(), while
  /// the objects that they refer to exist.
  void DiscardHandlers() { shutdown(); }

 private:
  telemetry::JsonLog& m_log;
};

}  // namespace cornelrelay::runtime
