#include "cornelrelay/profile/profile.h"

#include <algorithm>

namespace cornelrelay::profile {

bool Profile::IsIdempotent(std::string_view method, std::string_view path) const {
  return request.all_idempotent ||
         std::any_of(request.idempotent_calls.begin(), request.idempotent_calls.end(),
                     [&](const CallPattern& p) { return p.Matches(method, path); });
}

}  // namespace cornelrelay::profile
