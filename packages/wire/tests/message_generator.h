#pragma once

#include <rapidcheck.h>

#include <string>

#include "cornelrelay/claims/claim.h"
#include "cornelrelay/wire/control_message.h"

namespace cornelrelay::wire::testing {

template <class T>
T Any() {
  return *rc::gen::arbitrary<T>();
}

inline std::size_t Below(std::size_t bound) { return *rc::gen::inRange<std::size_t>(0, bound); }

inline std::string AnyText(std::size_t longest = 20) {
  return *rc::gen::container<std::string>(Below(longest + 1), rc::gen::arbitrary<char>());
}

inline core::Endpoint AnyEndpoint() { return {AnyText(), Any<std::uint16_t>()}; }

inline gossip::Load AnyLoad() {
  return {Any<std::uint8_t>(), Any<std::uint8_t>(), Any<std::uint8_t>(), Any<std::uint8_t>()};
}

inline gossip::Record AnyRecord() {
  gossip::Record record;
  record.key.kind = static_cast<gossip::RecordKind>(Below(6));
  record.key.subject = AnyText();
  record.origin = core::HostId(AnyText());
  record.version.incarnation = Any<std::uint64_t>();
  record.version.sequence = Any<std::uint32_t>();
  record.time_to_live = std::chrono::seconds(Any<std::uint16_t>());
  record.age = Any<std::uint16_t>() * core::Duration(200000);
  switch (record.key.kind) {
    case gossip::RecordKind::kMember:
      record.payload = gossip::MemberState{
          static_cast<gossip::Life>(Below(4)), static_cast<gossip::Role>(Below(2)),
          core::DataCentreId(AnyText()), AnyEndpoint(), Any<std::uint64_t>()};
      break;
    case gossip::RecordKind::kUpstream:
      record.payload =
          gossip::UpstreamStatus{core::ServiceId(AnyText()), core::DataCentreId(AnyText()),
                                 AnyEndpoint(), AnyLoad(), Any<bool>()};
      break;
    case gossip::RecordKind::kLimitStanding:
      record.payload = gossip::LimitStanding{Any<std::uint64_t>(), Any<std::uint8_t>()};
      break;
    case gossip::RecordKind::kCrash:
      record.payload = gossip::CrashNote{AnyText(200)};
      break;
    default:
      record.payload = gossip::LeavingNotice{static_cast<gossip::LeavingScope>(Below(2))};
  }
  return record;
}

inline gossip::GossipPush AnyPush() {
  gossip::GossipPush push;
  for (std::size_t i = Below(4); i > 0; --i) push.records.push_back(AnyRecord());
  for (std::size_t i = Below(4); i > 0; --i) {
    gossip::StatusDelta delta{core::UpstreamId(AnyText()),
                              Any<std::uint16_t>(),
                              Any<std::uint32_t>(),
                              Any<std::uint32_t>(),
                              static_cast<std::uint8_t>(Below(32)),
                              AnyLoad(),
                              Any<std::uint8_t>() * core::Duration(250000)};
    if ((delta.changed & 1U) == 0) delta.load.running = 0;
    if ((delta.changed & 2U) == 0) delta.load.waiting = 0;
    if ((delta.changed & 4U) == 0) delta.load.cache_use = 0;
    if ((delta.changed & 8U) == 0) delta.load.step_time = 0;
    push.deltas.push_back(delta);
  }
  for (std::size_t i = Below(4); i > 0; --i) {
    push.samples.push_back({Any<std::uint32_t>(), Any<std::uint16_t>(), AnyLoad(), Any<bool>(),
                            static_cast<int>(Below(128)) * core::Duration(250000)});
  }
  return push;
}

template <class Tag>
claims::Id128<Tag> AnyId() {
  return claims::Id128<Tag>(Any<std::uint64_t>(), Any<std::uint64_t>());
}

inline claims::ClaimCall AnyCall() {
  claims::ClaimCall call;
  call.call = AnyId<claims::ClaimCallIdTag>();
  call.partition = Any<std::uint32_t>();
  call.key = AnyId<claims::KeyDigestTag>();
  call.body = AnyId<claims::BodyDigestTag>();
  call.key_time = core::Instant(std::chrono::milliseconds(Any<std::uint32_t>()));
  return call;
}

inline claims::ClaimReply AnyReply() {
  return {AnyId<claims::ClaimCallIdTag>(), static_cast<claims::ClaimAnswer>(1 + Below(6)),
          AnyText(claims::kMaxRecordedAnswer)};
}

inline claims::ClaimFinish AnyFinish() {
  return {AnyId<claims::ClaimCallIdTag>(), Any<std::uint32_t>(), AnyId<claims::KeyDigestTag>(),
          static_cast<claims::ClaimState>(1 + Below(4)), AnyText(claims::kMaxRecordedAnswer)};
}

inline ControlMessage AnyMessage() {
  const auto id = Any<std::uint64_t>();
  const auto number = Any<std::uint32_t>();
  switch (Below(14)) {
    case 0:
      return gossip::Probe{number, AnyPush()};
    case 1:
      return gossip::ProbeAck{number, AnyPush()};
    case 2:
      return gossip::ProbeRequest{number, core::HostId(AnyText()), AnyPush()};
    case 3:
      return AnyPush();
    case 4:
      return AnyCall();
    case 5:
      return AnyReply();
    case 6:
      return AnyFinish();
    case 7:
      return CatalogueFetch{id};
    case 8:
      return CatalogueTransfer{id, AnyText(2000)};
    case 9:
      return OrderForward{core::GroupId(AnyText()), id, AnyText(2000)};
    case 10:
      return TableFetch{static_cast<gossip::SnapshotPart>(Below(2))};
    case 12:
      return CatalogueConfirm{id};
    case 11:
      return claims::ClaimFinishAck{AnyId<claims::ClaimCallIdTag>()};
    default:
      return TableTransfer{AnyPush().records};
  }
}

}  // namespace cornelrelay::wire::testing
