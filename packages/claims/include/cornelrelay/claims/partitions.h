#pragma once

#include <cstdint>
#include <set>
#include <string>

#include "cornelrelay/claims/id128.h"
#include "cornelrelay/core/ids.h"

namespace cornelrelay::claims {

/// \brief Partitions of the key space. Changing it moves keys between partitions, so it is fixed
/// for a deployment.
inline constexpr std::uint32_t kPartitions = 16;

std::uint32_t PartitionOf(const KeyDigest& key);

/// \brief The live member with the highest rendezvous score; empty when there is none.
core::HostId PreferredOwner(std::uint32_t partition, const std::set<core::HostId>& members);

/// \brief Store key of the segment that takes new claims.
std::string HeadKey(std::uint32_t partition);

/// \brief Store key of a sealed segment.
std::string SegmentKey(std::uint32_t partition, std::uint64_t number);

}  // namespace cornelrelay::claims
