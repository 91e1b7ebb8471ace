#pragma once

#include <algorithm>
#include <variant>

#include "cornelrelay/gossip/message.h"
#include "fields.h"

namespace cornelrelay::wire::internal {

constexpr std::size_t kMaxElements = 255;
constexpr std::size_t kRecordBytes = 19;
constexpr std::size_t kSampleBytes = 11;
constexpr std::size_t kDeltaBytes = 13;
// Two bytes of 200 ms hold 3.6 h, more than the longest time to live.
constexpr core::Duration kRecordAgeUnit = std::chrono::milliseconds(200);
constexpr core::Duration kLoadAgeUnit = std::chrono::milliseconds(250);

template <class Ar>
void Code(Ar& ar, Ref<Ar, gossip::Load> load) {
  ar.archive(load.running, load.waiting, load.cache_use, load.step_time);
}

template <class Ar>
void Code(Ar& ar, Ref<Ar, gossip::MemberState> member) {
  // Life takes the low two bits of one byte, the role the next.
  auto bits = static_cast<std::uint8_t>(static_cast<unsigned>(member.life) |
                                        static_cast<unsigned>(member.role) << 2U);
  ar.archive(bits);
  if (bits > 7) throw MalformedMessage();
  if constexpr (Ar::kReads) {
    member.life = static_cast<gossip::Life>(bits & 3U);
    member.role = static_cast<gossip::Role>(bits >> 2U);
  }
  Identifier(ar, member.data_centre);
  Address(ar, member.control);
  ar.archive(member.revision);
}

template <class Ar>
void Code(Ar& ar, Ref<Ar, gossip::UpstreamStatus> status) {
  Identifier(ar, status.service);
  Identifier(ar, status.data_centre);
  Address(ar, status.endpoint);
  Code(ar, status.load);
  Flag(ar, status.draining);
}

template <class Ar>
void Code(Ar& ar, Ref<Ar, gossip::LeavingNotice> notice) {
  Choice(ar, notice.scope, gossip::LeavingScope::kHost);
}

template <class Ar>
void Code(Ar& ar, Ref<Ar, gossip::CrashNote> note) {
  Bytes<std::uint16_t>(ar, note.bytes, gossip::CrashNote::kMaxBytes);
}

template <class Ar>
void Code(Ar& ar, Ref<Ar, gossip::LimitStanding> standing) {
  ar.archive(standing.view, standing.standing);
}

inline gossip::Payload EmptyPayload(gossip::RecordKind kind) {
  switch (kind) {
    case gossip::RecordKind::kMember:
      return gossip::MemberState{};
    case gossip::RecordKind::kUpstream:
      return gossip::UpstreamStatus{};
    case gossip::RecordKind::kCrash:
      return gossip::CrashNote{};
    case gossip::RecordKind::kLimitStanding:
      return gossip::LimitStanding{};
    case gossip::RecordKind::kHostLeaving:
    case gossip::RecordKind::kUpstreamLeaving:
      break;
  }
  return gossip::LeavingNotice{};
}

/// \brief The kind of the key tells the type of the payload, so no index is sent.
template <class Ar>
void Code(Ar& ar, Ref<Ar, gossip::Record> record) {
  Choice(ar, record.key.kind, gossip::RecordKind::kLimitStanding);
  Text(ar, record.key.subject);
  Identifier(ar, record.origin);
  ar.archive(record.version.incarnation);
  Number<std::uint32_t>(ar, record.version.sequence);
  DurationUp<std::uint16_t>(ar, record.time_to_live, std::chrono::seconds(1));
  DurationUp<std::uint16_t>(ar, record.age, kRecordAgeUnit);
  if constexpr (Ar::kReads) record.payload = EmptyPayload(record.key.kind);
  if (record.payload.index() != EmptyPayload(record.key.kind).index()) throw MalformedMessage();
  std::visit([&](auto& payload) { Code(ar, payload); }, record.payload);
}

template <class Ar>
void Code(Ar& ar, Ref<Ar, gossip::StatusSample> sample) {
  ar.archive(sample.subject_hash, sample.sequence);
  Code(ar, sample.load);
  // Draining takes the top bit of the byte with the age, which then reaches 32 s.
  std::uint8_t bits = 0;
  if constexpr (!Ar::kReads) {
    const auto units = (sample.age + kLoadAgeUnit / 2) / kLoadAgeUnit;
    bits = static_cast<std::uint8_t>(std::clamp<std::int64_t>(units, 0, 127));
    if (sample.draining) bits |= 128U;
  }
  ar.archive(bits);
  if constexpr (Ar::kReads) {
    sample.draining = bits >= 128;
    sample.age = kLoadAgeUnit * (bits & 127U);
  }
}

template <class Ar>
void Code(Ar& ar, Ref<Ar, gossip::StatusDelta> delta) {
  Identifier(ar, delta.upstream);
  ar.archive(delta.incarnation_tag, delta.base, delta.sequence, delta.changed);
  if (delta.changed > 31) throw MalformedMessage();
  const auto value = [&](unsigned bit, Ref<Ar, std::uint8_t> field) {
    if ((delta.changed >> bit & 1U) != 0) ar.archive(field);
  };
  value(0, delta.load.running);
  value(1, delta.load.waiting);
  value(2, delta.load.cache_use);
  value(3, delta.load.step_time);
  DurationNear<std::uint8_t>(ar, delta.age, kLoadAgeUnit);
}

template <class Ar>
void Code(Ar& ar, Ref<Ar, gossip::GossipPush> push) {
  List<std::uint8_t>(ar, push.records, kMaxElements, kRecordBytes,
                     [&](auto& record) { Code(ar, record); });
  List<std::uint8_t>(ar, push.deltas, kMaxElements, kDeltaBytes,
                     [&](auto& delta) { Code(ar, delta); });
  List<std::uint8_t>(ar, push.samples, kMaxElements, kSampleBytes,
                     [&](auto& sample) { Code(ar, sample); });
}

template <class Ar>
void Code(Ar& ar, Ref<Ar, gossip::Probe> probe) {
  ar.archive(probe.sequence);
  Code(ar, probe.push);
}

template <class Ar>
void Code(Ar& ar, Ref<Ar, gossip::ProbeAck> ack) {
  ar.archive(ack.sequence);
  Code(ar, ack.push);
}

template <class Ar>
void Code(Ar& ar, Ref<Ar, gossip::ProbeRequest> request) {
  ar.archive(request.sequence);
  Identifier(ar, request.target);
  Code(ar, request.push);
}

}  // namespace cornelrelay::wire::internal
