#include <algorithm>
#include <cassert>
#include <numeric>

#include "cornelrelay/placement/placement_planner.h"

namespace cornelrelay::placement {

Placement MakeFullPlacement(std::size_t ranks, std::size_t slots, const std::vector<double>& loads,
                            const std::vector<double>& speeds) {
  const std::size_t experts = loads.size();
  assert(ranks * slots >= experts);
  std::vector<std::size_t> copies(experts, 1);
  for (std::size_t free = ranks * slots - experts; free > 0; --free) {
    std::size_t best = experts;
    for (std::size_t e = 0; e < experts; ++e) {
      if (copies[e] >= ranks) continue;
      if (best == experts || loads[e] / static_cast<double>(copies[e]) >
                                 loads[best] / static_cast<double>(copies[best])) {
        best = e;
      }
    }
    if (best == experts) break;
    ++copies[best];
  }

  // Longest first onto the rank that ends first; ties by index.
  std::vector<std::size_t> order;
  for (std::size_t e = 0; e < experts; ++e) order.insert(order.end(), copies[e], e);
  const auto part = [&](std::size_t e) { return loads[e] / static_cast<double>(copies[e]); };
  std::stable_sort(order.begin(), order.end(),
                   [&](std::size_t a, std::size_t b) { return part(a) > part(b); });
  std::vector<std::set<std::size_t>> held(ranks);
  std::vector<double> times(ranks, 0);
  std::vector<std::size_t> left;
  for (const std::size_t e : order) {
    std::size_t best = ranks;
    for (std::size_t r = 0; r < ranks; ++r) {
      if (held[r].size() >= slots || held[r].contains(e)) continue;
      if (best == ranks || times[r] + part(e) / speeds[r] < times[best] + part(e) / speeds[best]) {
        best = r;
      }
    }
    if (best == ranks) {
      continue;  // only ranks that already hold a copy have room: the copy is dropped
    }
    held[best].insert(e);
    times[best] += part(e) / speeds[best];
  }
  // Fills slots of dropped copies, so that every rank holds as many experts as before.
  for (std::size_t r = 0; r < ranks; ++r) {
    for (std::size_t e = 0; e < experts && held[r].size() < slots; ++e) held[r].insert(e);
  }
  return Placement(experts, std::move(held));
}

}  // namespace cornelrelay::placement
