#include "cornelrelay/store/store_request.h"

#include <array>

namespace cornelrelay::store {

bool IsRepeatable(const StoreRequest& request) {
  // A repeated grant would leave a second lease behind; a repeated swap reports a false conflict.
  return !std::holds_alternative<CompareAndSwap>(request) &&
         !std::holds_alternative<LeaseGrant>(request);
}

bool IsWatch(const StoreRequest& request) {
  return std::holds_alternative<Watch>(request) || std::holds_alternative<WatchPrefix>(request);
}

std::string_view KindName(const StoreRequest& request) {
  constexpr std::array<std::string_view, std::variant_size_v<StoreRequest>> kNames = {
      "get",   "compare_and_swap", "lease_grant", "lease_keep_alive", "lease_revoke",
      "watch", "read_prefix",      "watch_prefix"};
  return kNames.at(request.index());
}

}  // namespace cornelrelay::store
