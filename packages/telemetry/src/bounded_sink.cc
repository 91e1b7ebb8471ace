#include "cornelrelay/telemetry/bounded_sink.h"

#include <fcntl.h>
#include <spdlog/pattern_formatter.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>

namespace cornelrelay::telemetry {

BoundedSink::BoundedSink(int descriptor, BoundedSinkLimits limits)
    : m_descriptor(descriptor),
      m_former_flags(fcntl(descriptor, F_GETFL)),
      m_limits(limits),
      m_formatter(std::make_unique<spdlog::pattern_formatter>()) {
  if (m_former_flags >= 0) fcntl(m_descriptor, F_SETFL, m_former_flags | O_NONBLOCK);
}

BoundedSink::~BoundedSink() {
  Write();
  if (m_former_flags >= 0) fcntl(m_descriptor, F_SETFL, m_former_flags);
}

void BoundedSink::set_pattern(const std::string& pattern) {
  m_formatter = std::make_unique<spdlog::pattern_formatter>(pattern);
}

void BoundedSink::set_formatter(std::unique_ptr<spdlog::formatter> formatter) {
  m_formatter = std::move(formatter);
}

bool BoundedSink::Take(Allowance& allowance, double rate) {
  const auto now = Clock::now();
  const double passed = allowance.updated == Clock::time_point{}
                            ? m_limits.burst_seconds
                            : std::chrono::duration<double>(now - allowance.updated).count();
  allowance.updated = now;
  allowance.lines = std::min(allowance.lines + passed * rate, m_limits.burst_seconds * rate);
  if (allowance.lines < 1) return false;
  allowance.lines -= 1;
  return true;
}

void BoundedSink::log(const spdlog::details::log_msg& message) {
  const bool failure = message.level >= spdlog::level::warn;
  const bool allowed = failure ? Take(m_failures, m_limits.failure_lines_per_second)
                               : Take(m_usual, m_limits.lines_per_second);
  if (!allowed || m_queue.size() > m_limits.queue_bytes) {
    ++m_dropped;
    ++m_dropped_in_all;
    Write();
    return;
  }
  if (m_dropped > 0) {
    m_queue += R"({"event":"log_lines_dropped","count":)" + std::to_string(m_dropped) + "}\n";
    m_dropped = 0;
  }
  spdlog::memory_buf_t line;
  m_formatter->format(message, line);
  m_queue.append(line.data(), line.size());
  Write();
}

void BoundedSink::Write() {
  while (!m_queue.empty()) {
    const ssize_t count = ::write(m_descriptor, m_queue.data(), m_queue.size());
    if (count > 0) {
      m_queue.erase(0, static_cast<std::size_t>(count));
    } else if (count < 0 && errno == EINTR) {
      continue;
    } else {
      return;  // the reader is slow or gone; the queue is bounded
    }
  }
}

}  // namespace cornelrelay::telemetry
