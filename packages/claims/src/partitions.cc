#include "cornelrelay/claims/partitions.h"

#include "cornelrelay/core/hash.h"

namespace cornelrelay::claims {
namespace {

std::string PartitionPrefix(std::uint32_t partition) {
  return "cornelrelay/claims/" + std::to_string(partition) + '/';
}

}  // namespace

std::uint32_t PartitionOf(const KeyDigest& key) {
  return static_cast<std::uint32_t>(key.low() % kPartitions);
}

core::HostId PreferredOwner(std::uint32_t partition, const std::set<core::HostId>& members) {
  const std::string name = PartitionPrefix(partition);
  core::HostId best;
  std::uint64_t best_score = 0;
  for (const core::HostId& member : members) {
    const std::uint64_t score = core::RendezvousScore(name, member.value());
    if (best.empty() || score > best_score) {
      best = member;
      best_score = score;
    }
  }
  return best;
}

std::string HeadKey(std::uint32_t partition) { return PartitionPrefix(partition) + "head"; }

std::string SegmentKey(std::uint32_t partition, std::uint64_t number) {
  return PartitionPrefix(partition) + std::to_string(number);
}

}  // namespace cornelrelay::claims
