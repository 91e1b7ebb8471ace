#include "cornelrelay/core/hash.h"

#define XXH_INLINE_ALL
#include <xxhash.h>

namespace cornelrelay::core {

std::uint64_t Hash64(std::string_view bytes, std::uint64_t seed) {
  return XXH64(bytes.data(), bytes.size(), seed);
}

std::uint64_t RendezvousScore(std::string_view key, std::string_view node) {
  return Hash64(node, Hash64(key));
}

}  // namespace cornelrelay::core
