#pragma once

#include <cstddef>
#include <cstdint>
#include <set>
#include <utility>

#include "cornelrelay/core/ids.h"
#include "cornelrelay/core/time.h"
#include "cornelrelay/quarantine/fingerprint.h"

namespace cornelrelay::quarantine {

/// \brief Upstream and its incarnation: all entry processes name one crash alike.
using CrashId = std::pair<core::UpstreamId, std::uint64_t>;

/// \brief Suspects in one published record: 64 x 8 bytes twice fit a datagram of 1,200 bytes.
/// Larger sets are split over several records, because records of one crash merge by union.
inline constexpr std::size_t kMaxRecordSuspects = 64;

/// \brief What is known about one crash. Merging is commutative, associative and idempotent.
struct CrashRecord {
  CrashId id;
  core::Instant time;              ///< earliest report
  std::set<Fingerprint> suspects;  ///< were running when the upstream failed
  std::set<Fingerprint> cleared;   ///< completed elsewhere afterwards

  friend bool operator==(const CrashRecord&, const CrashRecord&) = default;
};

/// \brief The join of two records of the same crash.
CrashRecord Merge(const CrashRecord& a, const CrashRecord& b);

}  // namespace cornelrelay::quarantine
