#include "cornelrelay/policybench/sample.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace cornelrelay::policybench {

double Quantile(std::vector<double> values, double quantile) {
  if (values.empty()) return 0;
  const double position = std::ceil(quantile * static_cast<double>(values.size())) - 1;
  const auto rank = static_cast<std::ptrdiff_t>(std::max(0.0, position));
  std::nth_element(values.begin(), values.begin() + rank, values.end());
  return values[static_cast<std::size_t>(rank)];
}

double Mean(const std::vector<double>& values) {
  if (values.empty()) return 0;
  return std::accumulate(values.begin(), values.end(), 0.0) / static_cast<double>(values.size());
}

}  // namespace cornelrelay::policybench
