#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <memory>

#include "cornelrelay/fakes/engine_options.h"

namespace cornelrelay::fakes {

/// \brief Stand-in for a model engine: continuous batching, prefix cache, priorities, resume,
/// cancel, lagging load, fencing.
///
/// Tokens are a function of the prompt and their position, so a stream resumed on another engine
/// goes on with the same tokens. A prompt that contains `[[crash]]` ends the process.
///
/// \code
/// FakeEngine engine(context, options);
/// engine.Start();
/// \endcode
class FakeEngine {
 public:
  FakeEngine(boost::asio::io_context& context, EngineOptions options);
  ~FakeEngine();

  void Start();

 private:
  class Impl;
  std::shared_ptr<Impl> m_impl;
};

}  // namespace cornelrelay::fakes
