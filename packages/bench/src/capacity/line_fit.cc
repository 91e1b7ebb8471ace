#include "capacity/line_fit.h"

#include <cassert>
#include <cstddef>

namespace cornelrelay::bench {

LineFit LineFit::Of(const std::vector<double>& xs, const std::vector<double>& ys) {
  assert(xs.size() == ys.size() && xs.size() >= 2);
  const auto n = static_cast<double>(xs.size());
  double mean_x = 0;
  double mean_y = 0;
  for (std::size_t i = 0; i < xs.size(); ++i) {
    mean_x += xs[i] / n;
    mean_y += ys[i] / n;
  }
  double xx = 0;
  double xy = 0;
  double yy = 0;
  for (std::size_t i = 0; i < xs.size(); ++i) {
    xx += (xs[i] - mean_x) * (xs[i] - mean_x);
    xy += (xs[i] - mean_x) * (ys[i] - mean_y);
    yy += (ys[i] - mean_y) * (ys[i] - mean_y);
  }
  LineFit fit;
  fit.slope = xx == 0 ? 0 : xy / xx;
  fit.intercept = mean_y - fit.slope * mean_x;
  // Equal values everywhere lie on a line exactly.
  fit.quality = xx == 0 || yy == 0 ? 1 : xy * xy / (xx * yy);
  return fit;
}

}  // namespace cornelrelay::bench
