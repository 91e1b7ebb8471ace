#pragma once

#include <vector>

namespace cornelrelay::policybench {

/// \brief Quantile by nearest rank; zero for an empty sample.
double Quantile(std::vector<double> values, double quantile);

double Mean(const std::vector<double>& values);

}  // namespace cornelrelay::policybench
