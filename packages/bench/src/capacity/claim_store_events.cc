#include "capacity/claim_store_events.h"

#include "cornelrelay/core/overloaded.h"

namespace cornelrelay::bench {

store::StoreRequest ToStoreRequest(const claims::StoreRead& read) { return store::Get{read.key}; }

store::StoreRequest ToStoreRequest(const claims::StoreSwap& swap) {
  return store::CompareAndSwap{swap.key, static_cast<store::StoreRevision>(swap.expected),
                               swap.value, 0};
}

claims::OwnerEvent ToOwnerEvent(claims::StoreCallId call, const store::StoreReply& reply) {
  using Event = claims::OwnerEvent;
  return std::visit(
      core::Overloaded{
          [&](const store::ValueRead& r) -> Event {
            claims::StoreReadDone done;
            done.call = call;
            if (r.current) {
              done.revision = static_cast<claims::StoreRevision>(r.current->revision);
              done.value = r.current->value;
            }
            return done;
          },
          [&](const store::Swapped& r) -> Event {
            return claims::StoreSwapDone{call, true,
                                         static_cast<claims::StoreRevision>(r.revision)};
          },
          [&](const store::NotSwapped&) -> Event {
            return claims::StoreSwapDone{call, false, 0};
          },
          [&](const store::TimedOut&) -> Event { return claims::StoreAnswerLost{call}; },
          [&](const auto&) -> Event { return claims::StoreUnavailable{call}; }},
      reply);
}

}  // namespace cornelrelay::bench
