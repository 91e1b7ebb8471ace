#include "cornelrelay/wire/rank_messages.h"

#include "cornelrelay/core/overloaded.h"
#include "fields.h"

namespace cornelrelay::wire {
namespace {

using internal::Reader;
using internal::Ref;
using internal::Writer;

constexpr std::size_t kMaxSets = 256;
constexpr std::size_t kMaxRanks = 1024;
constexpr std::size_t kMaxExperts = 4096;
constexpr std::size_t kMaxPicks = 65'536;

template <class Ar, class List>
void Experts(Ar& ar, List& experts) {
  internal::List<std::uint16_t>(ar, experts, kMaxExperts, sizeof(std::uint16_t),
                                [&](auto& expert) { ar.archive(expert); });
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
void Code(Ar& ar, Ref<Ar, RankCall> call) {
  ar.archive(call.fence, call.epoch);
  internal::Flag(ar, call.want_picks);
  bool elsewhere = call.engine.has_value();
  internal::Flag(ar, elsewhere);
  if (elsewhere) {
    if constexpr (Ar::kReads) call.engine.emplace();
    internal::Address(ar, *call.engine);
  }
  internal::Alternative(
      ar, call.order,
      core::Overloaded{[&](Ref<Ar, balance::PrepareMap> o) {
                         ar.archive(o.version);
                         CodeMap(ar, o.map);
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
}

// Presence and value of the optional fields are written apart, since reading creates the values.
template <class Ar>
void CodeOptionals(Ar& ar, Ref<Ar, balance::RankState> state) {
  const auto field = [&](auto& value, auto code) {
    bool present = value.has_value();
    internal::Flag(ar, present);
    if (!present) return;
    if constexpr (Ar::kReads) value.emplace();
    code(*value);
  };
  field(state.prepared, [&](auto& version) { ar.archive(version); });
  field(state.armed, [&](auto& armed) { ar.archive(armed.version, armed.step); });
  field(state.held, [&](auto& step) { ar.archive(step); });
}

template <class Ar>
void Code(Ar& ar, Ref<Ar, balance::RankReport> report) {
  internal::Identifier(ar, report.group);
  ar.archive(report.rank, report.size, report.incarnation);
  Code(ar, report.state);
  CodeOptionals(ar, report.state);
}

template <class Ar>
void Code(Ar& ar, Ref<Ar, RankReply> reply) {
  internal::Choice(ar, reply.result, balance::OrderResult::kUnknown);
  bool present = reply.report.has_value();
  internal::Flag(ar, present);
  if (present) {
    if constexpr (Ar::kReads) reply.report.emplace();
    Code(ar, *reply.report);
  }
  internal::List<std::uint32_t>(ar, reply.picks, kMaxPicks, sizeof(std::uint16_t),
                                [&](auto& count) { ar.archive(count); });
}

template <class Message>
std::string EncodeMessage(const Message& message) {
  std::string bytes;
  Writer writer(bytes);
  Code(writer, message);
  return bytes;
}

template <class Message>
Message DecodeMessage(std::string_view bytes) {
  Message message;
  try {
    Reader reader(bytes);
    Code(reader, message);
  } catch (const cereal::Exception&) {
    throw MalformedMessage();
  }
  return message;
}

}  // namespace

std::string Encode(const RankCall& call) { return EncodeMessage(call); }
std::string Encode(const RankReply& reply) { return EncodeMessage(reply); }
RankCall DecodeRankCall(std::string_view bytes) { return DecodeMessage<RankCall>(bytes); }
RankReply DecodeRankReply(std::string_view bytes) { return DecodeMessage<RankReply>(bytes); }

}  // namespace cornelrelay::wire
