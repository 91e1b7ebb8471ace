#pragma once

#include <cstdint>

namespace cornelrelay::telemetry {

/// \brief A number of occurrences since the start of the process.
class Counter {
 public:
  void Add(std::uint64_t n = 1) { m_value += n; }
  std::uint64_t value() const { return m_value; }

 private:
  std::uint64_t m_value = 0;
};

}  // namespace cornelrelay::telemetry
