#include "cornelrelay/wire/rank_messages.h"

#include <utility>

#include "cornelrelay/core/overloaded.h"
#include "message_codec.h"

namespace cornelrelay::wire {
namespace {

using internal::Ref;

constexpr std::size_t kMaxSets = 256;
constexpr std::size_t kMaxRanks = 1024;
constexpr std::size_t kMaxExperts = 4096;
constexpr std::size_t kMaxExpertCounts = 65'536;
/// Bytes of the change of a cell to no experts.
constexpr std::size_t kLeastCellBytes = 3 * internal::kLeastVarintBytes;
/// Bytes of an empty address.
constexpr std::size_t kLeastAddressBytes = 3;

template <class Ar, class List>
void Experts(Ar& ar, List& experts) {
  internal::List<internal::VarintCount>(ar, experts, kMaxExperts, internal::kLeastVarintBytes,
                                        [&](auto& expert) { internal::Varint(ar, expert); });
}

template <class Ar, class List>
void Sets(Ar& ar, List& sets) {
  internal::List<std::uint16_t>(ar, sets, kMaxSets, sizeof(std::uint16_t),
                                [&](auto& experts) { Experts(ar, experts); });
}

template <class Ar, class Map>
void CodeMap(Ar& ar, Map& map) {
  internal::List<std::uint16_t>(ar, map, kMaxSets, sizeof(std::uint16_t), [&](auto& ranks) {
    internal::List<std::uint16_t>(ar, ranks, kMaxRanks, sizeof(std::uint16_t),
                                  [&](auto& experts) { Experts(ar, experts); });
  });
}

template <class Ar>
void CodeShared(Ar& ar, Ref<Ar, balance::SharedLayerMap> map) {
  if constexpr (Ar::kReads) {
    balance::LayerMap layers;
    CodeMap(ar, layers);
    map = balance::SharedLayerMap(std::move(layers));
  } else {
    CodeMap(ar, map.layers());
  }
}

template <class Ar>
void CodeMilliseconds(Ar& ar, Ref<Ar, std::chrono::milliseconds> time) {
  std::uint32_t count = static_cast<std::uint32_t>(time.count());
  internal::Varint(ar, count);
  if constexpr (Ar::kReads) time = std::chrono::milliseconds(count);
}

template <class Ar>
void Code(Ar& ar, Ref<Ar, balance::MapDelta> delta) {
  ar.archive(delta.base, delta.result);
  internal::List<std::uint32_t>(ar, delta.changes, kMaxSets * kMaxRanks, kLeastCellBytes,
                                [&](auto& change) {
                                  internal::Varint(ar, change.set);
                                  internal::Varint(ar, change.rank);
                                  Experts(ar, change.experts);
                                });
}

template <class Ar>
void Code(Ar& ar, Ref<Ar, RankCall> call) {
  internal::Identifier(ar, call.group);
  ar.archive(call.fence, call.epoch);
  internal::Flag(ar, call.want_expert_counts);
  internal::Optional(ar, call.engine, [&](auto& engine) { internal::Address(ar, engine); });
  internal::Optional(ar, call.known_map, [&](auto& version) { ar.archive(version); });
  internal::List<std::uint16_t>(ar, call.forward_to, kMaxRanks, kLeastAddressBytes,
                                [&](auto& agent) { internal::Address(ar, agent); });
  CodeMilliseconds(ar, call.forward_time);
  CodeMilliseconds(ar, call.hop_time);
  internal::Optional(ar, call.map_delta, [&](auto& delta) { Code(ar, delta); });
  internal::Alternative(
      ar, call.order,
      core::Overloaded{[&](Ref<Ar, balance::PrepareMap> o) {
                         ar.archive(o.version);
                         CodeShared(ar, o.map);
                       },
                       [&](Ref<Ar, balance::ArmMap> o) { ar.archive(o.version, o.step); },
                       [&](Ref<Ar, balance::DisarmMap> o) { ar.archive(o.version); },
                       [&](Ref<Ar, balance::HoldPass> o) { ar.archive(o.step); },
                       [&](Ref<Ar, balance::ReleasePass> o) { ar.archive(o.step); },
                       [](Ref<Ar, balance::ObserveRank>) {}});
}

template <class Ar>
void Code(Ar& ar, Ref<Ar, balance::RankState> state) {
  ar.archive(state.epoch, state.step, state.map);
  internal::Flag(ar, state.open);
  Sets(ar, state.experts);
  internal::Optional(ar, state.prepared, [&](auto& version) { ar.archive(version); });
  internal::Optional(ar, state.armed, [&](auto& armed) { ar.archive(armed.version, armed.step); });
  internal::Optional(ar, state.held, [&](auto& step) { ar.archive(step); });
}

template <class Ar>
void Code(Ar& ar, Ref<Ar, balance::RankReport> report) {
  internal::Identifier(ar, report.group);
  ar.archive(report.rank, report.size, report.incarnation, report.pace);
  Code(ar, report.state);
}

template <class Ar>
void Code(Ar& ar, Ref<Ar, ForwardedReply> reply) {
  internal::Address(ar, reply.agent);
  internal::Choice(ar, reply.result, balance::OrderResult::kUnknown);
  internal::Optional(ar, reply.report, [&](auto& report) { Code(ar, report); });
  internal::Flag(ar, reply.lacks_map);
}

template <class Ar>
void Code(Ar& ar, Ref<Ar, RankReply> reply) {
  internal::Choice(ar, reply.result, balance::OrderResult::kUnknown);
  internal::Optional(ar, reply.report, [&](auto& report) { Code(ar, report); });
  internal::List<std::uint32_t>(ar, reply.expert_counts, kMaxExpertCounts,
                                internal::kLeastVarintBytes,
                                [&](auto& count) { internal::Varint(ar, count); });
  internal::List<std::uint16_t>(ar, reply.forwarded, kMaxRanks, kLeastAddressBytes,
                                [&](auto& forwarded) { Code(ar, forwarded); });
  internal::Flag(ar, reply.lacks_map);
}

/// Passes the overloads of Code on as one function.
constexpr auto kCode = [](auto& ar, auto& message) { Code(ar, message); };

}  // namespace

std::string Encode(const RankCall& call) { return internal::EncodeMessage(call, kCode); }
std::string Encode(const RankReply& reply) { return internal::EncodeMessage(reply, kCode); }
RankCall DecodeRankCall(std::string_view bytes) {
  return internal::DecodeMessage<RankCall>(bytes, kCode);
}
RankReply DecodeRankReply(std::string_view bytes) {
  return internal::DecodeMessage<RankReply>(bytes, kCode);
}

}  // namespace cornelrelay::wire
