#pragma once

#include <boost/asio/io_context.hpp>
#include <chrono>
#include <cstddef>

#include "cornelrelay/core/time.h"
#include "cornelrelay/runtime/process_clock.h"
#include "cornelrelay/runtime/wake_timer.h"

namespace cornelrelay::runtime {

/// \brief Tells whether this process has run all the time, or its host was frozen, suspended or
/// overloaded, so that what it reads now may have arrived long ago.
///
/// \code
/// const PauseDetector::Watch watch(detector);
/// ...
/// if (!detector.RanSince(last_news)) Distrust();
/// \endcode
class PauseDetector {
 public:
  /// \brief Pauses that begin during the life of a watch are detected.
  class Watch {
   public:
    explicit Watch(PauseDetector& detector) : m_detector(detector) { m_detector.AddWatch(); }
    ~Watch() { m_detector.RemoveWatch(); }
    Watch(const Watch&) = delete;
    Watch& operator=(const Watch&) = delete;

   private:
    PauseDetector& m_detector;
  };

  /// A process that is started again by its supervisor takes longer until it accepts connections.
  static constexpr std::chrono::milliseconds kPause{250};

  PauseDetector(boost::asio::io_context& context, const ProcessClock& clock);

  /// \brief Returns whether there was no pause of kPause or longer since then.
  bool RanSince(core::Instant since) const;

 private:
  void AddWatch();
  void RemoveWatch();
  void Tick();

  const ProcessClock& m_clock;
  WakeTimer m_timer;
  std::size_t m_watches = 0;
  core::Instant m_last_tick{};
  core::Instant m_last_pause_end{};
};

}  // namespace cornelrelay::runtime
