#include "cornelrelay/claims/state_dump.h"

#include <nlohmann/json.hpp>
#include <string>
#include <utility>

namespace cornelrelay::claims {
namespace {

using nlohmann::json;

json Time(core::Instant at) {
  if (at == core::Instant::min()) return nullptr;
  return at.time_since_epoch().count();
}

json ToJson(const Claim& claim) {
  return {{"key", ToString(claim.key)},       {"body", ToString(claim.body)},
          {"holder", ToString(claim.holder)}, {"state", ToString(claim.state)},
          {"time_us", Time(claim.time)},      {"key_time_us", Time(claim.key_time)}};
}

json ToJson(const ClaimSegment& segment) {
  const SegmentHeader& header = segment.header();
  json claims = json::array();
  for (const auto& [key, claim] : segment.claims()) claims.push_back(ToJson(claim));
  return {{"owner", header.owner.value()}, {"write", ToString(header.write)},
          {"number", header.number},       {"first", header.first},
          {"erased", header.erased},       {"floor_us", Time(header.floor)},
          {"sealed", header.sealed},       {"claims", std::move(claims)}};
}

std::string PhaseName(ClaimOwner::Phase phase) {
  switch (phase) {
    case ClaimOwner::Phase::kIdle:
      return "idle";
    case ClaimOwner::Phase::kReadingHead:
      return "reading_head";
    case ClaimOwner::Phase::kReadingSegments:
      return "reading_segments";
    case ClaimOwner::Phase::kWriting:
      return "writing";
    case ClaimOwner::Phase::kArchiving:
      return "archiving";
    case ClaimOwner::Phase::kComparing:
      break;
  }
  return "comparing";
}

}  // namespace

class OwnerDump {
 public:
  static json Of(const ClaimOwner& o) {
    // Archived claims may be millions; the dump gives their number.
    return {{"partition", o.m_partition},
            {"phase", PhaseName(o.m_phase)},
            {"view_valid", o.m_view.valid()},
            {"revision", o.m_view.revision()},
            {"head", ToJson(o.m_view.head())},
            {"writing", o.m_writing ? ToJson(*o.m_writing) : json()},
            {"incoming", o.m_incoming ? ToJson(*o.m_incoming) : json()},
            {"incoming_revision", o.m_incoming_revision},
            {"head_archived", o.m_archived},
            {"archived_claims", o.m_view.archived().size()},
            {"unread_segments", o.m_unread.size()},
            {"segment_reads", o.m_segment_reads},
            {"store_call", o.m_call},
            {"next_store_call", o.m_next_call},
            {"erased", o.m_eraser.erased()},
            {"last_write_us", Time(o.m_last_write)},
            {"retry_at_us", Time(o.m_retry_at)},
            {"backoff_us", o.m_backoff.count()},
            {"store_unavailable", o.m_unavailable},
            {"corrupt_segments", o.m_corrupt},
            {"calls", Calls(o)},
            {"finishes", Finishes(o)},
            {"released", Released(o)}};
  }

 private:
  static json Calls(const ClaimOwner& o) {
    json calls = json::array();
    for (const auto& call : o.m_calls) {
      calls.push_back({{"call", ToString(call.message.call)},
                       {"key", ToString(call.message.key)},
                       {"from", call.from.value()},
                       {"received_us", Time(call.received)}});
    }
    return calls;
  }
  static json Finishes(const ClaimOwner& o) {
    json finishes = json::array();
    for (const auto& finish : o.m_finishes) {
      finishes.push_back({{"call", ToString(finish.message.call)},
                          {"from", finish.from.value()},
                          {"outcome", ToString(finish.message.outcome)},
                          {"refreshed", finish.refreshed}});
    }
    return finishes;
  }
  static json Released(const ClaimOwner& o) {
    json released = json::array();
    for (const auto& call : o.m_released.ids()) released.push_back(ToString(call));
    return released;
  }
};

json ToJson(const ClaimOwner& owner) { return OwnerDump::Of(owner); }

json ToJson(const ClaimClient& client) {
  json waiting = json::array();
  for (const auto& [call, entry] : client.waiting()) {
    waiting.push_back({{"call", ToString(call)},
                       {"request", entry.request.value()},
                       {"key", ToString(entry.message.key)},
                       {"deadline_us", Time(entry.deadline)},
                       {"resend_at_us", Time(entry.resend_at)}});
  }
  json granted = json::array();
  for (const auto& [request, call] : client.granted()) {
    granted.push_back({{"request", request.value()}, {"call", ToString(call.call)}});
  }
  json finishing = json::array();
  for (const auto& [call, entry] : client.finishing()) {
    finishing.push_back({{"call", ToString(call)},
                         {"outcome", ToString(entry.message.outcome)},
                         {"tries", entry.tries},
                         {"interval_us", entry.interval.count()},
                         {"resend_at_us", Time(entry.resend_at)}});
  }
  json members = json::array();
  for (const auto& member : client.members()) members.push_back(member.value());
  return {{"next_call", client.next_call()}, {"waiting", std::move(waiting)},
          {"granted", std::move(granted)},   {"finishing", std::move(finishing)},
          {"members", std::move(members)},   {"abandoned_finishes", client.abandoned_finishes()}};
}

}  // namespace cornelrelay::claims
