#pragma once

#include <cstdint>
#include <set>

namespace cornelrelay::request {

/// \brief How far a streamed answer has been forwarded; a later attempt resumes after it.
struct StreamPosition {
  std::uint64_t sequence = 0;       ///< last accepted sequence number, 0 before the first
  std::set<std::int64_t> open;      ///< choices begun without a finish_reason so far
  std::set<std::int64_t> finished;  ///< choices whose finish_reason has arrived

  /// \brief True if every choice that began has its finish_reason.
  bool AllFinished() const { return open.empty() && !finished.empty(); }

  friend bool operator==(const StreamPosition&, const StreamPosition&) = default;
};

}  // namespace cornelrelay::request
