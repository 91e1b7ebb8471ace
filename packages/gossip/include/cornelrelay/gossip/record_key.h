#pragma once

#include <compare>
#include <cstdint>
#include <string>

namespace cornelrelay::gossip {

enum class RecordKind : std::uint8_t {
  kHostLeaving,
  kUpstreamLeaving,
  kCrash,
  kMember,
  kUpstream,
  kLimitStanding
};

/// \brief Identity of a record: one record per kind and subject is kept.
struct RecordKey {
  RecordKind kind = RecordKind::kMember;
  std::string subject;

  friend auto operator<=>(const RecordKey&, const RecordKey&) = default;
};

}  // namespace cornelrelay::gossip
