#pragma once

#include <compare>
#include <cstdint>
#include <initializer_list>
#include <ostream>
#include <string>
#include <string_view>

namespace cornelrelay::claims {

namespace internal {
std::string HexOf(std::uint64_t high, std::uint64_t low);
std::uint64_t HashParts(std::initializer_list<std::string_view> parts, std::uint64_t seed);
}  // namespace internal

/// \brief A 128-bit value of one kind: a digest or a random identifier.
///
/// \code
/// const KeyDigest digest = KeyDigest::Of({account.value(), key.text()});
/// \endcode
template <class Tag>
class Id128 {
 public:
  constexpr Id128() = default;
  constexpr Id128(std::uint64_t high, std::uint64_t low) : m_high(high), m_low(low) {}

  /// \brief Digest of `parts`; the lengths enter the digest, so parts cannot be shifted into each
  /// other.
  static Id128 Of(std::initializer_list<std::string_view> parts) {
    return Id128(internal::HashParts(parts, 0x636c61696d730001ULL),
                 internal::HashParts(parts, 0x636c61696d730002ULL));
  }

  constexpr std::uint64_t high() const { return m_high; }
  constexpr std::uint64_t low() const { return m_low; }

  // Written out because clang-tidy 14 reports a missing nullptr in each use of a defaulted one.
  friend std::strong_ordering operator<=>(const Id128& a, const Id128& b) {
    return a.m_high == b.m_high ? a.m_low <=> b.m_low : a.m_high <=> b.m_high;
  }
  friend bool operator==(const Id128&, const Id128&) = default;
  friend std::string ToString(const Id128& id) { return internal::HexOf(id.m_high, id.m_low); }
  friend std::ostream& operator<<(std::ostream& out, const Id128& id) {
    return out << ToString(id);
  }

 private:
  std::uint64_t m_high = 0;
  std::uint64_t m_low = 0;
};

using KeyDigest = Id128<struct KeyDigestTag>;
using BodyDigest = Id128<struct BodyDigestTag>;

/// \brief One try of an entry process to claim a key; its retransmissions carry the same id.
using ClaimCallId = Id128<struct ClaimCallIdTag>;

/// \brief Identifies one write of a segment for read-back.
using WriteId = Id128<struct WriteIdTag>;

}  // namespace cornelrelay::claims
