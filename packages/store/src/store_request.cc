#include "cornelrelay/platform/store_request.h"

#include <array>

namespace cornelrelay::platform {

bool IsRepeatable(const StoreRequest& request) {
  // A repeated grant would leave a second lease behind; a repeated swap reports a false conflict.
  return !std::holds_alternative<CompareAndSwap>(request) &&
         !std::holds_alternative<LeaseGrant>(request);
}

std::string_view KindName(const StoreRequest& request) {
  constexpr std::array<std::string_view, std::variant_size_v<StoreRequest>> kNames = {
      "get", "compare_and_swap", "lease_grant", "lease_keep_alive", "lease_revoke", "watch"};
  return kNames.at(request.index());
}

}  // namespace cornelrelay::platform
