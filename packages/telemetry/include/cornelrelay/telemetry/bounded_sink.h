#pragma once

#include <spdlog/formatter.h>
#include <spdlog/sinks/sink.h>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>

namespace cornelrelay::telemetry {

struct BoundedSinkLimits {
  std::size_t queue_bytes = 262'144;      ///< lines that the reader has not taken yet
  double lines_per_second = 120;          ///< below `warning`
  double failure_lines_per_second = 240;  ///< from `warning` on, which are kept first
  double burst_seconds = 2;               ///< of unused lines that may be saved up
};

/// \brief Writes lines to a descriptor without ever blocking, at a bounded rate.
///
/// What the reader does not take waits in a bounded queue. Lines beyond the limits are dropped, and
/// the next line that passes is preceded by one with their number.
class BoundedSink : public spdlog::sinks::sink {
 public:
  using Clock = std::chrono::steady_clock;

  /// \param descriptor is set to non-blocking mode until the sink is destroyed
  explicit BoundedSink(int descriptor = 1, BoundedSinkLimits limits = {});
  ~BoundedSink() override;
  BoundedSink(const BoundedSink&) = delete;
  BoundedSink& operator=(const BoundedSink&) = delete;

  void log(const spdlog::details::log_msg& message) override;
  void flush() override { Write(); }
  void set_pattern(const std::string& pattern) override;
  void set_formatter(std::unique_ptr<spdlog::formatter> formatter) override;

  std::uint64_t dropped() const { return m_dropped_in_all; }

 private:
  struct Allowance {
    double lines = 0;
    Clock::time_point updated{};
  };
  bool Take(Allowance& allowance, double rate);
  void Write();

  int m_descriptor;
  int m_former_flags;
  BoundedSinkLimits m_limits;
  std::unique_ptr<spdlog::formatter> m_formatter;
  Allowance m_usual;
  Allowance m_failures;
  std::string m_queue;
  std::uint64_t m_dropped = 0;  ///< since the last line that says so
  std::uint64_t m_dropped_in_all = 0;
};

}  // namespace cornelrelay::telemetry
