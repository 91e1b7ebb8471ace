#include "cornelrelay/wire/control_message.h"

#include "claim_fields.h"
#include "gossip_fields.h"
#include "message_codec.h"

namespace cornelrelay::wire {
namespace internal {

template <class Ar>
void Code(Ar& ar, Ref<Ar, CatalogueFetch> fetch) {
  ar.archive(fetch.revision);
}

template <class Ar>
void Code(Ar& ar, Ref<Ar, CatalogueConfirm> confirm) {
  ar.archive(confirm.revision);
}

template <class Ar>
void Code(Ar& ar, Ref<Ar, CatalogueTransfer> transfer) {
  ar.archive(transfer.revision);
  Bytes<std::uint32_t>(ar, transfer.bytes, kMaxCatalogue);
}

template <class Ar>
void Code(Ar& ar, Ref<Ar, OrderForward> forward) {
  Identifier(ar, forward.group);
  ar.archive(forward.fence);
  Bytes<std::uint32_t>(ar, forward.order, kMaxOrder);
}

template <class Ar>
void Code(Ar& ar, Ref<Ar, TableFetch> fetch) {
  Choice(ar, fetch.part, gossip::SnapshotPart::kFar);
}

template <class Ar>
void Code(Ar& ar, Ref<Ar, TableTransfer> transfer) {
  List<std::uint16_t>(ar, transfer.records, kMaxTableRecords, kRecordBytes,
                      [&](auto& record) { Code(ar, record); });
}

}  // namespace internal

namespace {

constexpr auto kCode = [](auto& ar, auto& message) {
  internal::Alternative(ar, message, [&](auto& one) { internal::Code(ar, one); });
};

}  // namespace

std::string Encode(const ControlMessage& message) {
  return internal::EncodeMessage(message, kCode);
}

ControlMessage Decode(std::string_view bytes) {
  if (bytes.size() > kMaxMessage) throw MessageTooLarge();
  return internal::DecodeMessage<ControlMessage>(bytes, kCode);
}

}  // namespace cornelrelay::wire
