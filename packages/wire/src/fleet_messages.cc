#include "cornelrelay/wire/fleet_messages.h"

#include <algorithm>
#include <chrono>
#include <cmath>

#include "message_codec.h"

namespace cornelrelay::wire {
namespace {

using internal::Ref;

constexpr std::size_t kMaxLoads = 1024;
constexpr std::size_t kMaxQueues = 64;
constexpr std::size_t kMaxSuspects = 64;
constexpr std::size_t kMaxCrashes = 64;
constexpr std::chrono::milliseconds kAgeUnit{1};
constexpr std::size_t kMaxItems = 100'000;
constexpr std::size_t kMaxKeyBytes = 200;
constexpr std::size_t kMaxValueBytes = 1'048'576;
/// An id of an upstream is a part of a key of the store.
constexpr std::size_t kMaxUpstreamIdBytes = kMaxKeyBytes;
/// The least that one element of a list takes, for the check before allocation.
constexpr std::size_t kLoadBytes = 3;
constexpr std::size_t kQueueBytes = 4;
constexpr std::size_t kItemBytes = 10;
constexpr std::size_t kSuspectBytes = 10;
constexpr std::size_t kCrashBytes = 13;

template <class Ar>
void CodeSuspect(Ar& ar, Ref<Ar, quarantine::SuspectReport> suspect) {
  std::uint64_t fingerprint = suspect.suspect.value();
  ar.archive(fingerprint);
  if constexpr (Ar::kReads) suspect.suspect = quarantine::Fingerprint(fingerprint);
  internal::List<std::uint8_t>(ar, suspect.crashes, kMaxCrashes, kCrashBytes, [&](auto& crash) {
    ar.archive(crash.crash);
    internal::DurationNear<std::uint32_t>(ar, crash.age, kAgeUnit);
    internal::Flag(ar, crash.answer_begun);
  });
  internal::Optional(ar, suspect.output_age,
                     [&](auto& age) { internal::DurationNear<std::uint32_t>(ar, age, kAgeUnit); });
}

template <class Ar>
void Code(Ar& ar, Ref<Ar, peers::PeerStatus> b) {
  internal::Identifier(ar, b.host);
  internal::Address(ar, b.endpoint);
  ar.archive(b.incarnation, b.sequence, b.items_version.revision);
  internal::Varint(ar, b.items_version.era);
  internal::Varint(ar, b.configuration_version);
  internal::Flag(ar, b.store_connected);
  internal::Identifier(ar, b.data_centre);
  internal::List<std::uint16_t>(ar, b.loads, kMaxLoads, kLoadBytes, [&](auto& load) {
    internal::Identifier(ar, load.upstream, kMaxUpstreamIdBytes);
    internal::Number<std::uint16_t>(ar, load.in_flight);
  });
  internal::List<std::uint8_t>(ar, b.queues, kMaxQueues, kQueueBytes, [&](auto& queue) {
    internal::Identifier(ar, queue.service);
    ar.archive(queue.priority);
    internal::Number<std::uint16_t>(ar, queue.waiting);
  });
  internal::List<std::uint8_t>(ar, b.suspects, kMaxSuspects, kSuspectBytes,
                               [&](auto& suspect) { CodeSuspect<Ar>(ar, suspect); });
  internal::List<std::uint16_t>(ar, b.rate_limits, kMaxLoads, kLoadBytes, [&](auto& limit) {
    internal::Identifier(ar, limit.upstream, kMaxUpstreamIdBytes);
    internal::Optional(ar, limit.per_second, [&](auto& rate) {
      ar.archive(rate);
      if (!std::isfinite(rate) || rate < 0) throw MalformedMessage();
    });
    internal::DurationNear<std::uint32_t>(ar, limit.age, kAgeUnit);
  });
}

template <class Ar>
void CodeItem(Ar& ar, Ref<Ar, store::ItemChange> item) {
  internal::Text(ar, item.key, kMaxKeyBytes);
  ar.archive(item.revision);
  internal::Optional(ar, item.value, [&](auto& value) {
    internal::Bytes<std::uint32_t>(ar, value, kMaxValueBytes);
  });
}

template <class Ar>
void Code(Ar& ar, Ref<Ar, ItemsTransfer> t) {
  ar.archive(t.version.revision);
  internal::Varint(ar, t.version.era);
  internal::Flag(ar, t.all_items);
  internal::List<std::uint32_t>(ar, t.changes, kMaxItems, kItemBytes,
                                [&](auto& change) { CodeItem<Ar>(ar, change); });
  internal::Optional(ar, t.configuration, [&](auto& item) { CodeItem<Ar>(ar, item); });
}

/// Passes the overloads of Code on as one function.
constexpr auto kCode = [](auto& ar, auto& message) { Code(ar, message); };

template <class T, class Fits>
std::size_t Keep(std::vector<T>& list, std::size_t most, Fits fits) {
  const std::size_t before = list.size();
  std::erase_if(list, [&](const T& entry) { return !fits(entry); });
  if (list.size() > most) list.resize(most);
  return before - list.size();
}

std::size_t KeepEncodable(peers::PeerStatus& status) {
  const auto has_short_id = [](const auto& entry) {
    return entry.upstream.value().size() <= kMaxUpstreamIdBytes;
  };
  const auto has_short_name = [](const peers::ServiceQueue& queue) {
    return queue.service.value().size() <= internal::kMaxText;
  };
  const auto few_crashes = [](const quarantine::SuspectReport& suspect) {
    return suspect.crashes.size() <= kMaxCrashes;
  };
  return Keep(status.loads, kMaxLoads, has_short_id) +
         Keep(status.queues, kMaxQueues, has_short_name) +
         Keep(status.suspects, kMaxSuspects, few_crashes) +
         Keep(status.rate_limits, kMaxLoads, has_short_id);
}

template <class T>
std::size_t DropHalf(std::vector<T>& list) {
  const std::size_t before = list.size();
  list.resize(before / 2);
  return before - list.size();
}

/// \returns the number of entries that were dropped; 0 if all lists are empty
std::size_t DropHalfOfLongestList(peers::PeerStatus& status) {
  const std::size_t longest = std::max({status.loads.size(), status.queues.size(),
                                        status.suspects.size(), status.rate_limits.size()});
  if (status.loads.size() == longest) return DropHalf(status.loads);
  if (status.rate_limits.size() == longest) return DropHalf(status.rate_limits);
  if (status.queues.size() == longest) return DropHalf(status.queues);
  return DropHalf(status.suspects);
}

}  // namespace

EncodedStatus EncodeWithin(peers::PeerStatus status, std::size_t limit) {
  EncodedStatus encoded;
  encoded.omitted = KeepEncodable(status);
  encoded.bytes = Encode(status);
  while (encoded.bytes.size() > limit) {
    const std::size_t dropped = DropHalfOfLongestList(status);
    if (dropped == 0) break;
    encoded.omitted += dropped;
    encoded.bytes = Encode(status);
  }
  return encoded;
}

std::string Encode(const peers::PeerStatus& bulletin) {
  return internal::EncodeMessage(bulletin, kCode);
}
std::string Encode(const ItemsTransfer& transfer) {
  return internal::EncodeMessage(transfer, kCode);
}

peers::PeerStatus DecodePeerStatus(std::string_view bytes) {
  return internal::DecodeMessage<peers::PeerStatus>(bytes, kCode);
}

ItemsTransfer DecodeItemsTransfer(std::string_view bytes) {
  return internal::DecodeMessage<ItemsTransfer>(bytes, kCode);
}

}  // namespace cornelrelay::wire
