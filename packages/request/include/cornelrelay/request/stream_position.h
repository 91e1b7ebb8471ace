#pragma once

#include <cstdint>
#include <optional>
#include <set>

namespace cornelrelay::request {

/// \brief Progress of a streamed answer. A later attempt resumes after it.
struct StreamPosition {
  std::optional<std::uint64_t> sequence;  ///< last accepted sequence number, which may be 0
  /// Indices of choices that have begun but have no finish_reason yet.
  std::set<std::int64_t> unfinished;
  std::set<std::int64_t> finished;  ///< indices of choices whose finish_reason has arrived

  /// \brief True if a choice has begun and every choice has its finish_reason.
  bool AllFinished() const { return unfinished.empty() && !finished.empty(); }

  friend bool operator==(const StreamPosition&, const StreamPosition&) = default;
};

}  // namespace cornelrelay::request
