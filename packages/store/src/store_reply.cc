#include "cornelrelay/store/store_reply.h"

#include <array>

#include "cornelrelay/core/overloaded.h"

namespace cornelrelay::store {

void SetEra(StoreReply& reply, StoreEra era) {
  std::visit(
      core::Overloaded{[era](Swapped& swapped) { swapped.era = era; },
                       [era](PrefixRead& read) { read.version.era = era; },
                       [era](PrefixChanged& changed) { changed.version.era = era; }, [](auto&) {}},
      reply);
}

bool IsAnswer(const StoreReply& reply) {
  return !std::holds_alternative<RefusedForRate>(reply) &&
         !std::holds_alternative<Unavailable>(reply) && !std::holds_alternative<TimedOut>(reply);
}

std::string_view KindName(const StoreReply& reply) {
  constexpr std::array<std::string_view, std::variant_size_v<StoreReply>> kNames = {
      "value_read",    "swapped",          "not_swapped", "lease_granted",
      "lease_expired", "watch_event",      "prefix_read", "prefix_changed",
      "history_lost",  "refused_for_rate", "unavailable", "timed_out"};
  return kNames.at(reply.index());
}

}  // namespace cornelrelay::store
