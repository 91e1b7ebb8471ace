#pragma once

#include <optional>
#include <variant>

#include "cornelrelay/core/overloaded.h"
#include "cornelrelay/profile/store_messages.h"
#include "cornelrelay/store/store_reply.h"
#include "cornelrelay/store/store_request.h"

namespace cornelrelay::profile::testing {

inline store::StoreRequest ToRequest(const ReadCatalogueKey&) { return store::Get{kCatalogueKey}; }
inline store::StoreRequest ToRequest(const SwapCatalogueKey& action) {
  return store::CompareAndSwap{kCatalogueKey, action.expected, action.bytes, 0};
}
inline store::StoreRequest ToRequest(const WatchCatalogueKey& action) {
  return store::Watch{kCatalogueKey, action.after};
}

inline std::optional<KeyContent> ToContent(const std::optional<store::StoredValue>& stored) {
  if (!stored) return std::nullopt;
  return KeyContent{stored->value, stored->revision};
}

using CatalogueStoreEvent =
    std::variant<CatalogueKeyRead, CatalogueKeySwapped, CatalogueKeyNotSwapped, CatalogueKeyChanged,
                 StoreCallFailed>;

/// \brief The event for the machine whose call the store client has delivered a reply to.
inline CatalogueStoreEvent ToEvent(CallNumber call, const store::StoreReply& reply) {
  using Event = CatalogueStoreEvent;
  return std::visit(
      core::Overloaded{[&](const store::ValueRead& r) -> Event {
                         return CatalogueKeyRead{call, ToContent(r.current)};
                       },
                       [&](const store::Swapped&) -> Event { return CatalogueKeySwapped{call}; },
                       [&](const store::NotSwapped& r) -> Event {
                         return CatalogueKeyNotSwapped{call, ToContent(r.current)};
                       },
                       [&](const store::WatchEvent& r) -> Event {
                         if (!r.current) return CatalogueKeyChanged{call, std::nullopt, r.revision};
                         return CatalogueKeyChanged{call, r.current->value, r.revision};
                       },
                       [&](const store::RefusedForRate& r) -> Event {
                         return StoreCallFailed{call, false, r.retry_after};
                       },
                       [&](const store::Unavailable& r) -> Event {
                         return StoreCallFailed{call, false, r.retry_after};
                       },
                       // Lease replies answer no call of the catalogue.
                       [&](const auto&) -> Event {
                         return StoreCallFailed{call, true, {}};
                       }},
      reply);
}

}  // namespace cornelrelay::profile::testing
