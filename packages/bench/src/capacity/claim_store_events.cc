#include "capacity/claim_store_events.h"

#include "cornelrelay/core/overloaded.h"

namespace cornelrelay::bench {

platform::StoreRequest ToStoreRequest(const claims::StoreRead& read) {
  return platform::Get{read.key};
}

platform::StoreRequest ToStoreRequest(const claims::StoreSwap& swap) {
  return platform::CompareAndSwap{swap.key, static_cast<platform::StoreRevision>(swap.expected),
                                  swap.value, 0};
}

claims::OwnerEvent ToOwnerEvent(claims::StoreCallId call, const platform::StoreReply& reply) {
  using Event = claims::OwnerEvent;
  return std::visit(
      core::Overloaded{
          [&](const platform::ValueRead& r) -> Event {
            claims::StoreReadDone done;
            done.call = call;
            if (r.current) {
              done.revision = static_cast<claims::StoreRevision>(r.current->revision);
              done.value = r.current->value;
            }
            return done;
          },
          [&](const platform::Swapped& r) -> Event {
            return claims::StoreSwapDone{call, true,
                                         static_cast<claims::StoreRevision>(r.revision)};
          },
          [&](const platform::NotSwapped&) -> Event {
            return claims::StoreSwapDone{call, false, 0};
          },
          [&](const platform::TimedOut&) -> Event { return claims::StoreAnswerLost{call}; },
          [&](const auto&) -> Event { return claims::StoreUnavailable{call}; }},
      reply);
}

}  // namespace cornelrelay::bench
