#pragma once

#include <cstdint>
#include <string_view>

namespace cornelrelay::core {

/// \brief 64-bit xxHash of `bytes`; stable across processes and versions.
std::uint64_t Hash64(std::string_view bytes, std::uint64_t seed = 0);

/// \brief Weight of `node` for `key` in rendezvous hashing: the highest score owns the key.
std::uint64_t RendezvousScore(std::string_view key, std::string_view node);

}  // namespace cornelrelay::core
