#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <limits>
#include <map>
#include <memory>
#include <optional>
#include <variant>
#include <vector>

#include "cornelrelay/core/time.h"
#include "cornelrelay/limits/byte_budget.h"

namespace cornelrelay::limits {

/// \brief What a caller connection holds memory for.
enum class CallerBytes {
  kHead,            ///< a head that is incomplete, or requests that are read ahead
  kBodyWithKey,     ///< body of a request with a valid API key
  kBodyWithoutKey,  ///< body of any other request
};

/// \brief Bytes that caller connections may hold; each pool is bounded on its own.
struct CallerMemoryLimits {
  std::size_t head_bytes = std::numeric_limits<std::size_t>::max();
  std::size_t with_key_bytes = std::numeric_limits<std::size_t>::max();
  std::size_t without_key_bytes = std::numeric_limits<std::size_t>::max();
  /// Reserved for bodies of at most `small_body` bytes, which may also use the pools above.
  std::size_t small_with_key_bytes = std::numeric_limits<std::size_t>::max();
  std::size_t small_without_key_bytes = std::numeric_limits<std::size_t>::max();
  std::size_t small_body = 65'536;
  /// A connection whose bytes pause for longer may be ended in favour of another one.
  core::Duration stall_time = std::chrono::milliseconds(500);

  friend bool operator==(const CallerMemoryLimits&, const CallerMemoryLimits&) = default;
};

/// \brief Divides a process's memory into the pools of CallerMemoryLimits.
/// \param body_bytes largest body of one request; a pool for bodies always has room for one
CallerMemoryLimits CallerMemoryLimitsOf(std::size_t memory_bytes, std::size_t body_bytes);

using CallerConnectionId = std::uint64_t;

/// A connection wants to hold this many bytes in all.
struct HoldBytes {
  CallerConnectionId connection;
  CallerBytes kind;
  std::size_t bytes;
};
/// Bytes of the connection arrived.
struct BytesArrived {
  CallerConnectionId connection;
};
/// The request of the connection is complete, so that it is not ended any more.
struct RequestComplete {
  CallerConnectionId connection;
};
/// The connection holds nothing any more.
struct ReleaseBytes {
  CallerConnectionId connection;
};
using CallerMemoryEvent = std::variant<HoldBytes, BytesArrived, RequestComplete, ReleaseBytes>;

/// The bytes are reserved.
struct BytesHeld {
  friend bool operator==(const BytesHeld&, const BytesHeld&) = default;
};
/// The bytes do not fit; the connection keeps what it had.
struct BytesRefused {
  friend bool operator==(const BytesRefused&, const BytesRefused&) = default;
};
/// The request of this connection is to be refused and its memory freed; its bytes are given back.
struct EndConnection {
  CallerConnectionId connection;

  friend bool operator==(const EndConnection&, const EndConnection&) = default;
};
using CallerMemoryAction = std::variant<BytesHeld, BytesRefused, EndConnection>;

/// \brief Decides which caller connection may hold how much memory, and which one is ended for
/// another one: among those that make no progress, the one with the most bytes times idle time.
///
/// \code
/// for (const auto& action : memory.Step(now, HoldBytes{7, CallerBytes::kBodyWithKey, 4096})) ...
/// \endcode
class CallerMemory {
 public:
  explicit CallerMemory(const CallerMemoryLimits& limits);

  /// \brief Holds for new reservations.
  void SetLimits(const CallerMemoryLimits& limits);

  /// \return for HoldBytes the connections to end, then BytesHeld or BytesRefused; else nothing
  std::vector<CallerMemoryAction> Step(core::Instant now, const CallerMemoryEvent& event);

  /// \brief Bytes that are held by all connections.
  std::size_t used() const;

 private:
  enum Pool : std::size_t {
    kHeads,
    kWithKey,
    kWithoutKey,
    kSmallWithKey,
    kSmallWithoutKey,
    kPools
  };

  struct Holder {
    std::unique_ptr<ByteReservation> reservation;
    Pool pool = kHeads;
    std::size_t bytes = 0;
    core::Instant progress;
    bool complete = false;
  };
  using Holders = std::map<CallerConnectionId, Holder>;

  std::vector<CallerMemoryAction> Handle(core::Instant now, const HoldBytes& event);
  std::vector<CallerMemoryAction> Handle(core::Instant now, const BytesArrived& event);
  std::vector<CallerMemoryAction> Handle(core::Instant now, const RequestComplete& event);
  std::vector<CallerMemoryAction> Handle(core::Instant now, const ReleaseBytes& event);

  std::vector<Pool> PoolsFor(const HoldBytes& event) const;
  bool TryHold(Holder& holder, Pool pool, std::size_t bytes);
  /// \return the stalled holder of the pool to end first, or the end
  Holders::iterator FindVictim(core::Instant now, Pool pool, CallerConnectionId except);
  /// \return bytes of the stalled holders of the pool
  std::size_t Reclaimable(core::Instant now, Pool pool, CallerConnectionId except) const;
  bool Stalled(core::Instant now, const Holders::value_type& entry, Pool pool,
               CallerConnectionId except) const;

  CallerMemoryLimits m_limits;
  std::array<std::shared_ptr<ByteBudget>, kPools> m_budgets;
  Holders m_holders;
};

}  // namespace cornelrelay::limits
