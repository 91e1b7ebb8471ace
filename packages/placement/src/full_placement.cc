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
  for (std::size_t free_slots = ranks * slots - experts; free_slots > 0; --free_slots) {
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

  // Assigns the copy with the largest load first, to the rank that would finish first. Ties go to
  // the lower index.
  std::vector<std::size_t> copy_order;
  for (std::size_t e = 0; e < experts; ++e) copy_order.insert(copy_order.end(), copies[e], e);
  const auto load_per_copy = [&](std::size_t e) {
    return loads[e] / static_cast<double>(copies[e]);
  };
  std::stable_sort(copy_order.begin(), copy_order.end(), [&](std::size_t a, std::size_t b) {
    return load_per_copy(a) > load_per_copy(b);
  });
  std::vector<std::set<std::size_t>> held(ranks);
  std::vector<double> rank_times(ranks, 0);
  std::vector<std::size_t> left;
  for (const std::size_t e : copy_order) {
    std::size_t best = ranks;
    for (std::size_t r = 0; r < ranks; ++r) {
      if (held[r].size() >= slots || held[r].contains(e)) continue;
      if (best == ranks || rank_times[r] + load_per_copy(e) / speeds[r] <
                               rank_times[best] + load_per_copy(e) / speeds[best]) {
        best = r;
      }
    }
    if (best == ranks) {
      continue;  // only ranks that already hold a copy have free slots, so this copy is dropped
    }
    held[best].insert(e);
    rank_times[best] += load_per_copy(e) / speeds[best];
  }
  // Fills the slots of dropped copies, so that all slots of every rank are used.
  for (std::size_t r = 0; r < ranks; ++r) {
    for (std::size_t e = 0; e < experts && held[r].size() < slots; ++e) held[r].insert(e);
  }
  return Placement(experts, std::move(held));
}

}  // namespace cornelrelay::placement
