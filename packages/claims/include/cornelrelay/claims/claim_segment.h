#pragma once

#include <cstddef>
#include <map>
#include <string>

#include "cornelrelay/claims/claim.h"
#include "cornelrelay/claims/segment_header.h"

namespace cornelrelay::claims {

/// \brief Claims in one segment. A head write carries the whole segment, so this bounds its size.
inline constexpr std::size_t kMaxSegmentClaims = 64;

/// \brief Upper bound of an encoded segment: 64 claims of 512 answer bytes and 90 bytes of fields,
/// and the header.
inline constexpr std::size_t kMaxSegmentBytes = 40960;

/// \brief Immutable store value with up to 64 claims of a partition.
///
/// \code
/// const ClaimSegment segment = ClaimSegment::Decode(bytes);  // throws CorruptSegment
/// \endcode
class ClaimSegment {
 public:
  using Claims = std::map<KeyDigest, Claim>;

  ClaimSegment() = default;
  ClaimSegment(SegmentHeader header, Claims claims);

  static ClaimSegment Decode(const std::string& bytes);
  std::string Encode() const;

  const SegmentHeader& header() const { return m_header; }
  const Claims& claims() const { return m_claims; }

  /// \brief Latest key time of the claims; the segment is kept until that key has expired
  /// everywhere.
  core::Instant LatestKeyTime() const;

  friend bool operator==(const ClaimSegment&, const ClaimSegment&) = default;

 private:
  SegmentHeader m_header;
  Claims m_claims;
};

}  // namespace cornelrelay::claims
