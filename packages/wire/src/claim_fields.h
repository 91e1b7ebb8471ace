#pragma once

#include <chrono>

#include "cornelrelay/claims/claim.h"
#include "cornelrelay/claims/claim_messages.h"
#include "fields.h"

namespace cornelrelay::wire::internal {

template <class Ar, class Tag>
void Digest(Ar& ar, claims::Id128<Tag>& id) {
  std::uint64_t high = 0;
  std::uint64_t low = 0;
  ar.archive(high, low);
  id = claims::Id128<Tag>(high, low);
}

template <class Ar, class Tag>
void Digest(Ar& ar, const claims::Id128<Tag>& id) {
  ar.archive(id.high(), id.low());
}

/// \brief Whole milliseconds, as the keys themselves carry.
template <class Ar>
void Milliseconds(Ar& ar, Ref<Ar, core::Instant> instant) {
  std::int64_t count = 0;
  if constexpr (!Ar::kReads) {
    count =
        std::chrono::duration_cast<std::chrono::milliseconds>(instant.time_since_epoch()).count();
  }
  ar.archive(count);
  // 48 bits hold the time of every key; larger values would overflow the microseconds.
  if (count < 0 || count >> 48 != 0) throw MalformedMessage();
  if constexpr (Ar::kReads) instant = core::Instant(std::chrono::milliseconds(count));
}

/// \brief An enumeration with the values `first` to `last`.
template <class Ar, class E>
void ChoiceFrom(Ar& ar, E& value, std::remove_const_t<E> first, std::remove_const_t<E> last) {
  Choice(ar, value, last);
  if (value < first) throw MalformedMessage();
}

template <class Ar>
void Code(Ar& ar, Ref<Ar, claims::ClaimCall> call) {
  Digest(ar, call.call);
  ar.archive(call.partition);
  Digest(ar, call.key);
  Digest(ar, call.body);
  Milliseconds(ar, call.key_time);
}

template <class Ar>
void Code(Ar& ar, Ref<Ar, claims::ClaimReply> reply) {
  Digest(ar, reply.call);
  ChoiceFrom(ar, reply.answer, claims::ClaimAnswer::kGranted, claims::ClaimAnswer::kRefused);
  Bytes<std::uint16_t>(ar, reply.recorded, claims::kMaxRecordedAnswer);
}

template <class Ar>
void Code(Ar& ar, Ref<Ar, claims::ClaimFinish> finish) {
  Digest(ar, finish.call);
  ar.archive(finish.partition);
  Digest(ar, finish.key);
  ChoiceFrom(ar, finish.outcome, claims::ClaimState::kGranted, claims::ClaimState::kUnknown);
  Bytes<std::uint16_t>(ar, finish.recorded, claims::kMaxRecordedAnswer);
}

template <class Ar>
void Code(Ar& ar, Ref<Ar, claims::ClaimFinishAck> ack) {
  Digest(ar, ack.call);
}

}  // namespace cornelrelay::wire::internal
