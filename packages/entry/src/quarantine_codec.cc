#include "quarantine_codec.h"

#include <cassert>
#include <cereal/archives/portable_binary.hpp>
#include <cstdint>
#include <set>
#include <sstream>
#include <vector>

namespace cornelrelay::entry::internal {
namespace {

enum class NoteKind : std::uint8_t { kCrash = 1, kProbe = 2 };

using Prints = std::vector<std::uint64_t>;

Prints ToValues(const std::set<quarantine::Fingerprint>& prints) {
  Prints values;
  for (const auto& print : prints) values.push_back(print.value());
  return values;
}

std::set<quarantine::Fingerprint> ToPrints(const Prints& values) {
  std::set<quarantine::Fingerprint> prints;
  for (const auto value : values) prints.insert(quarantine::Fingerprint(value));
  return prints;
}

std::int64_t ToCount(core::Instant time) { return time.time_since_epoch().count(); }
core::Instant ToInstant(std::int64_t count) { return core::Instant(core::Duration(count)); }

// The bytes come from an authenticated process; the bound keeps a faulty length from allocating.
void ReadPrints(cereal::PortableBinaryInputArchive& in, Prints& prints) {
  std::uint8_t count = 0;
  in(count);
  prints.resize(count);
  for (auto& print : prints) in(print);
}

void WritePrints(cereal::PortableBinaryOutputArchive& out, const Prints& prints) {
  assert(prints.size() <= quarantine::kMaxRecordSuspects);
  out(static_cast<std::uint8_t>(prints.size()));
  for (const auto print : prints) out(print);
}

void WriteText(cereal::PortableBinaryOutputArchive& out, const std::string& text) {
  out(static_cast<std::uint8_t>(text.size()));
  out(cereal::binary_data(text.data(), static_cast<std::uint8_t>(text.size())));
}

std::string ReadText(cereal::PortableBinaryInputArchive& in) {
  std::uint8_t size = 0;
  in(size);
  std::string text(size, '\0');
  in(cereal::binary_data(text.data(), text.size()));
  return text;
}

quarantine::LedgerEvent ReadCrash(cereal::PortableBinaryInputArchive& in) {
  quarantine::CrashRecord record;
  record.id.first = core::UpstreamId(ReadText(in));
  std::int64_t time = 0;
  Prints suspects;
  Prints cleared;
  in(record.id.second, time);
  ReadPrints(in, suspects);
  ReadPrints(in, cleared);
  record.time = ToInstant(time);
  record.suspects = ToPrints(suspects);
  record.cleared = ToPrints(cleared);
  return quarantine::CrashRecordReceived{record};
}

quarantine::LedgerEvent ReadProbe(cereal::PortableBinaryInputArchive& in) {
  quarantine::ProbeRecord record;
  record.entry = core::HostId(ReadText(in));
  record.upstream = core::UpstreamId(ReadText(in));
  std::uint64_t print = 0;
  std::uint8_t state = 0;
  std::int64_t time = 0;
  in(print, record.incarnation, record.sequence, state, time);
  record.fingerprint = quarantine::Fingerprint(print);
  record.state = static_cast<quarantine::ProbeState>(state);
  record.time = ToInstant(time);
  return quarantine::ProbeRecordReceived{record};
}

}  // namespace

std::string SubjectOf(const quarantine::CrashRecord& record) {
  // Records of one crash with different suspects must not replace each other.
  const auto first = record.suspects.empty() ? 0 : record.suspects.begin()->value();
  return "c/" + record.id.first.value() + '/' + std::to_string(record.id.second) + '/' +
         std::to_string(first);
}

std::string SubjectOf(const quarantine::ProbeRecord& record) {
  return "p/" + std::to_string(record.fingerprint.value());
}

gossip::CrashNote EncodeNote(const quarantine::CrashRecord& record) {
  std::ostringstream bytes;
  cereal::PortableBinaryOutputArchive out(bytes);
  out(static_cast<std::uint8_t>(NoteKind::kCrash));
  WriteText(out, record.id.first.value());
  out(record.id.second, ToCount(record.time));
  WritePrints(out, ToValues(record.suspects));
  WritePrints(out, ToValues(record.cleared));
  return {bytes.str()};
}

gossip::CrashNote EncodeNote(const quarantine::ProbeRecord& record) {
  std::ostringstream bytes;
  cereal::PortableBinaryOutputArchive out(bytes);
  out(static_cast<std::uint8_t>(NoteKind::kProbe));
  WriteText(out, record.entry.value());
  WriteText(out, record.upstream.value());
  out(record.fingerprint.value(), record.incarnation, record.sequence,
      static_cast<std::uint8_t>(record.state), ToCount(record.time));
  return {bytes.str()};
}

std::optional<quarantine::LedgerEvent> DecodeNote(const gossip::CrashNote& note) {
  try {
    std::istringstream bytes(note.bytes);
    cereal::PortableBinaryInputArchive in(bytes);
    std::uint8_t kind = 0;
    in(kind);
    if (kind == static_cast<std::uint8_t>(NoteKind::kCrash)) return ReadCrash(in);
    if (kind == static_cast<std::uint8_t>(NoteKind::kProbe)) return ReadProbe(in);
  } catch (const cereal::Exception&) {
  }
  return std::nullopt;
}

}  // namespace cornelrelay::entry::internal
