#include "cornelrelay/routes/request_kind.h"

#include <cassert>

namespace cornelrelay::routes {

std::string_view ToString(RequestKind kind) {
  switch (kind) {
    case RequestKind::kIdempotent:
      return "idempotent";
    case RequestKind::kNonIdempotent:
      return "non_idempotent";
    case RequestKind::kStream:
      return "stream";
  }
  assert(false);
  return "unknown";
}

}  // namespace cornelrelay::routes
