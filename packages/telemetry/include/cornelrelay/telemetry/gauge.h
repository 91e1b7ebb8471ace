#pragma once

namespace cornelrelay::telemetry {

/// \brief A value that rises and falls.
class Gauge {
 public:
  void Set(double value) { m_value = value; }
  void Add(double difference) { m_value += difference; }
  double value() const { return m_value; }

 private:
  double m_value = 0;
};

}  // namespace cornelrelay::telemetry
