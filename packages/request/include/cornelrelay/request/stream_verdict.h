#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <variant>

#include "cornelrelay/request/stream_position.h"

namespace cornelrelay::request {

/// \brief The event is the next one of this attempt. `position` includes the event.
struct Accepted {
  StreamPosition position;
  friend bool operator==(const Accepted&, const Accepted&) = default;
};

/// \brief The event repeats one that was already accepted in this attempt. It is dropped.
struct Duplicate {
  std::uint64_t sequence = 0;
  friend bool operator==(const Duplicate&, const Duplicate&) = default;
};

/// \brief The sequence number is not the expected one.
struct Gap {
  std::uint64_t expected = 0;
  std::uint64_t got = 0;
  friend bool operator==(const Gap&, const Gap&) = default;
};

/// \brief The answer carries the id of another attempt or request.
struct Foreign {
  std::string id;
  friend bool operator==(const Foreign&, const Foreign&) = default;
};

/// \brief The answer is complete.
struct End {
  friend bool operator==(const End&, const End&) = default;
};

/// \brief The answer ended before it was complete.
struct Truncated {
  std::optional<std::uint64_t> last_sequence;
  friend bool operator==(const Truncated&, const Truncated&) = default;
};

/// \brief The event or answer violates the protocol, for instance because it is not a JSON object
/// or lacks its id or sequence number.
struct Malformed {
  std::string reason;
  friend bool operator==(const Malformed&, const Malformed&) = default;
};

/// \brief Result of checking one upstream event or one whole answer.
using StreamVerdict = std::variant<Accepted, Duplicate, Gap, Foreign, End, Truncated, Malformed>;

}  // namespace cornelrelay::request
