#pragma once

#include <optional>
#include <variant>

#include "cornelrelay/core/overloaded.h"
#include "cornelrelay/platform/store_reply.h"
#include "cornelrelay/platform/store_request.h"
#include "cornelrelay/profile/store_messages.h"

namespace cornelrelay::profile::testing {

inline platform::StoreRequest ToRequest(const ReadCatalogueKey&) {
  return platform::Get{kCatalogueKey};
}
inline platform::StoreRequest ToRequest(const SwapCatalogueKey& action) {
  return platform::CompareAndSwap{kCatalogueKey, action.expected, action.bytes, 0};
}
inline platform::StoreRequest ToRequest(const WatchCatalogueKey& action) {
  return platform::Watch{kCatalogueKey, action.after};
}

inline std::optional<KeyContent> ToContent(const std::optional<platform::StoredValue>& stored) {
  if (!stored) return std::nullopt;
  return KeyContent{stored->value, stored->revision};
}

using CatalogueStoreEvent =
    std::variant<CatalogueKeyRead, CatalogueKeySwapped, CatalogueKeyNotSwapped, CatalogueKeyChanged,
                 StoreCallFailed>;

/// \brief The event for the machine whose call the store client has delivered a reply to.
inline CatalogueStoreEvent ToEvent(CallNumber call, const platform::StoreReply& reply) {
  using Event = CatalogueStoreEvent;
  return std::visit(
      core::Overloaded{[&](const platform::ValueRead& r) -> Event {
                         return CatalogueKeyRead{call, ToContent(r.current)};
                       },
                       [&](const platform::Swapped&) -> Event { return CatalogueKeySwapped{call}; },
                       [&](const platform::NotSwapped& r) -> Event {
                         return CatalogueKeyNotSwapped{call, ToContent(r.current)};
                       },
                       [&](const platform::WatchEvent& r) -> Event {
                         if (!r.current) return CatalogueKeyChanged{call, std::nullopt, r.revision};
                         return CatalogueKeyChanged{call, r.current->value, r.revision};
                       },
                       [&](const platform::RefusedForRate& r) -> Event {
                         return StoreCallFailed{call, false, r.retry_after};
                       },
                       [&](const platform::Unavailable& r) -> Event {
                         return StoreCallFailed{call, false, r.retry_after};
                       },
                       // Lease replies answer no call of the catalogue.
                       [&](const auto&) -> Event {
                         return StoreCallFailed{call, true, {}};
                       }},
      reply);
}

}  // namespace cornelrelay::profile::testing
