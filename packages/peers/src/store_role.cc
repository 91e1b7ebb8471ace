#include "cornelrelay/peers/store_role.h"

#include <cassert>

namespace cornelrelay::peers {

std::string_view ToString(StoreRole role) {
  switch (role) {
    case StoreRole::kReader:
      return "reader";
    case StoreRole::kSubstitute:
      return "substitute";
    case StoreRole::kFollower:
      return "follower";
  }
  assert(false);
  return "unknown";
}

}  // namespace cornelrelay::peers
