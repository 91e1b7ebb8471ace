#pragma once

#include <variant>

#include "cornelrelay/wire/claim_call.h"
#include "cornelrelay/wire/claim_finish.h"
#include "cornelrelay/wire/claim_reply.h"
#include "fields.h"

namespace cornelrelay::wire::internal {

template <class Ar>
void Code(Ar& ar, Ref<Ar, Digest> digest) {
  ar.archive(cereal::binary_data(digest.data(), digest.size()));
}

template <class Ar>
void Code(Ar& ar, Ref<Ar, ClaimCall> call) {
  ar.archive(call.call_id, call.partition);
  Code(ar, call.key);
  Code(ar, call.body);
  Identifier(ar, call.account);
  ar.archive(call.key_unix_milliseconds);
}

template <class Ar>
void Code(Ar&, Ref<Ar, ClaimGranted>) {}
template <class Ar>
void Code(Ar&, Ref<Ar, ClaimAlreadyTaken>) {}
template <class Ar>
void Code(Ar&, Ref<Ar, ClaimBodyMismatch>) {}
template <class Ar>
void Code(Ar&, Ref<Ar, FinishReleased>) {}
template <class Ar>
void Code(Ar&, Ref<Ar, FinishUnknown>) {}

template <class Ar>
void Code(Ar& ar, Ref<Ar, ClaimCompleted> completed) {
  Bytes<std::uint16_t>(ar, completed.answer, kMaxRecordedAnswer);
}

template <class Ar>
void Code(Ar& ar, Ref<Ar, ClaimRefused> refused) {
  Choice(ar, refused.reason, ClaimRefusal::kKeyExpired);
  ar.archive(refused.retry_after_milliseconds);
}

template <class Ar>
void Code(Ar& ar, Ref<Ar, FinishCompleted> completed) {
  Bytes<std::uint16_t>(ar, completed.answer, kMaxRecordedAnswer);
}

template <class Ar>
void Code(Ar& ar, Ref<Ar, ClaimReply> reply) {
  ar.archive(reply.call_id);
  Alternative(ar, reply.answer, [&](auto& answer) { Code(ar, answer); });
}

template <class Ar>
void Code(Ar& ar, Ref<Ar, ClaimFinish> finish) {
  ar.archive(finish.call_id, finish.partition);
  Code(ar, finish.key);
  Alternative(ar, finish.outcome, [&](auto& outcome) { Code(ar, outcome); });
}

}  // namespace cornelrelay::wire::internal
