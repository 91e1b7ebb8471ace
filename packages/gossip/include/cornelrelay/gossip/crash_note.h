#pragma once

#include <compare>
#include <cstddef>
#include <string>

namespace cornelrelay::gossip {

/// \brief A report about requests that crash upstreams, encoded by its sender.
///
/// Gossip carries and replaces notes without a look inside; the receivers merge their contents.
struct CrashNote {
  static constexpr std::size_t kMaxBytes = 1000;  ///< leaves room for the envelope in a datagram

  std::string bytes;

  friend auto operator<=>(const CrashNote&, const CrashNote&) = default;
};

}  // namespace cornelrelay::gossip
