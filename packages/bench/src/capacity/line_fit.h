#pragma once

#include <vector>

namespace cornelrelay::bench {

/// \brief Least-squares line through measured points.
///
/// \code
/// const LineFit fit = LineFit::Of(sizes, bytes);
/// const double at_target = fit.At(350);
/// \endcode
struct LineFit {
  double slope = 0;
  double intercept = 0;
  double quality = 0;  ///< coefficient of determination; 1 is a perfect line

  static LineFit Of(const std::vector<double>& xs, const std::vector<double>& ys);
  double At(double x) const { return intercept + slope * x; }

  friend bool operator==(const LineFit&, const LineFit&) = default;
};

}  // namespace cornelrelay::bench
