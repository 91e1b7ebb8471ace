#include "cornelrelay/claims/claim_segment.h"

#include <algorithm>
#include <cassert>
#include <cereal/archives/portable_binary.hpp>
#include <cereal/types/string.hpp>
#include <cstdint>
#include <sstream>
#include <string_view>
#include <utility>

#include "cornelrelay/claims/corrupt_segment.h"
#include "cornelrelay/core/hash.h"

namespace cornelrelay::claims {
namespace {

constexpr std::uint8_t kFormat = 1;
constexpr std::size_t kChecksumSize = 8;
constexpr std::size_t kMaxOwnerSize = 255;

using Output = cereal::PortableBinaryOutputArchive;
using Input = cereal::PortableBinaryInputArchive;

void Put(Output& out, core::Instant time) { out(std::int64_t{time.time_since_epoch().count()}); }

template <class Tag>
void Put(Output& out, const Id128<Tag>& id) {
  out(id.high(), id.low());
}

// A length of 16 bits in front of the bytes: a corrupt length cannot cause a large allocation.
void Put(Output& out, const std::string& text) {
  out(static_cast<std::uint16_t>(text.size()));
  out(cereal::binary_data(text.data(), text.size()));
}

template <class T>
T Get(Input& in) {
  T value{};
  in(value);
  return value;
}

core::Instant GetTime(Input& in) { return core::Instant(core::Duration(Get<std::int64_t>(in))); }

template <class Id>
Id GetId(Input& in) {
  const auto high = Get<std::uint64_t>(in);
  const auto low = Get<std::uint64_t>(in);
  return Id(high, low);
}

std::string GetText(Input& in, std::size_t bound) {
  const auto size = Get<std::uint16_t>(in);
  if (size > bound) throw CorruptSegment("text over its bound");
  std::string text(size, '\0');
  in(cereal::binary_data(text.data(), text.size()));
  return text;
}

Claim GetClaim(Input& in) {
  Claim claim;
  claim.key = GetId<KeyDigest>(in);
  claim.body = GetId<BodyDigest>(in);
  claim.holder = GetId<ClaimCallId>(in);
  const auto state = Get<std::uint8_t>(in);
  if (state < 1 || state > 4) throw CorruptSegment("claim state out of range");
  claim.state = static_cast<ClaimState>(state);
  claim.key_time = GetTime(in);
  claim.time = GetTime(in);
  claim.answer = GetText(in, kMaxRecordedAnswer);
  return claim;
}

std::string Checksum(std::string_view bytes) {
  std::uint64_t hash = core::Hash64(bytes);
  std::string text;
  for (std::size_t i = 0; i < kChecksumSize; ++i, hash >>= 8) {
    text += static_cast<char>(hash & 0xff);
  }
  return text;
}

ClaimSegment DecodeBody(const std::string& body) {
  std::istringstream stream(body);
  Input in(stream);
  if (Get<std::uint8_t>(in) != kFormat) throw CorruptSegment("unknown format");
  SegmentHeader header;
  header.owner = core::HostId(GetText(in, kMaxOwnerSize));
  header.write = GetId<WriteId>(in);
  header.number = Get<std::uint64_t>(in);
  header.first = Get<std::uint64_t>(in);
  header.erased = Get<std::uint64_t>(in);
  header.floor = GetTime(in);
  header.sealed = Get<bool>(in);
  if (header.erased > header.first || header.first > header.number) {
    throw CorruptSegment("segment numbers out of order");
  }
  const auto count = Get<std::uint8_t>(in);
  if (count > kMaxSegmentClaims) throw CorruptSegment("too many claims");
  ClaimSegment::Claims claims;
  for (std::uint8_t i = 0; i < count; ++i) {
    const Claim claim = GetClaim(in);
    claims.emplace(claim.key, claim);
  }
  return ClaimSegment(std::move(header), std::move(claims));
}

}  // namespace

CorruptSegment::CorruptSegment(const std::string& reason)
    : Error("corrupt_segment", "claim segment: " + reason) {}

ClaimSegment::ClaimSegment(SegmentHeader header, Claims claims)
    : m_header(std::move(header)), m_claims(std::move(claims)) {
  assert(m_claims.size() <= kMaxSegmentClaims);
  assert(m_header.owner.value().size() <= kMaxOwnerSize);
  assert(m_header.erased <= m_header.first && m_header.first <= m_header.number);
}

std::string ClaimSegment::Encode() const {
  std::ostringstream stream;
  {
    Output out(stream);
    out(kFormat);
    Put(out, m_header.owner.value());
    Put(out, m_header.write);
    out(m_header.number, m_header.first, m_header.erased);
    Put(out, m_header.floor);
    out(m_header.sealed, static_cast<std::uint8_t>(m_claims.size()));
    for (const auto& [key, claim] : m_claims) {
      assert(claim.answer.size() <= kMaxRecordedAnswer);
      Put(out, claim.key);
      Put(out, claim.body);
      Put(out, claim.holder);
      out(static_cast<std::uint8_t>(claim.state));
      Put(out, claim.key_time);
      Put(out, claim.time);
      Put(out, claim.answer);
    }
  }
  std::string bytes = stream.str();
  bytes += Checksum(bytes);
  assert(bytes.size() <= kMaxSegmentBytes);
  return bytes;
}

ClaimSegment ClaimSegment::Decode(const std::string& bytes) {
  if (bytes.size() > kMaxSegmentBytes || bytes.size() < kChecksumSize) {
    throw CorruptSegment("size out of range");
  }
  const std::string body = bytes.substr(0, bytes.size() - kChecksumSize);
  if (Checksum(body) != bytes.substr(body.size())) throw CorruptSegment("checksum differs");
  try {
    return DecodeBody(body);
  } catch (const cereal::Exception& e) {
    throw CorruptSegment(e.what());
  }
}

core::Instant ClaimSegment::LatestKeyTime() const {
  core::Instant latest = m_header.floor;
  for (const auto& [key, claim] : m_claims) latest = std::max(latest, claim.key_time);
  return latest;
}

}  // namespace cornelrelay::claims
