#include "cornelrelay/wire/control_message.h"

#include "claim_fields.h"
#include "gossip_fields.h"

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

std::string Encode(const ControlMessage& message) {
  std::string bytes;
  internal::Writer writer(bytes);
  internal::Alternative(writer, message, [&](const auto& one) { internal::Code(writer, one); });
  return bytes;
}

ControlMessage Decode(std::string_view bytes) {
  if (bytes.size() > kMaxMessage) throw MessageTooLarge();
  try {
    ControlMessage message;
    internal::Reader reader(bytes);
    internal::Alternative(reader, message, [&](auto& one) { internal::Code(reader, one); });
    if (reader.source.Remaining() != 0) throw MalformedMessage();
    return message;
  } catch (const cereal::Exception&) {
    throw MalformedMessage();  // cereal reports a short read this way
  }
}

}  // namespace cornelrelay::wire
