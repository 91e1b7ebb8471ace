#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>
#include <variant>

#include "cornelrelay/core/time.h"

namespace cornelrelay::store {

/// \brief Modification revision of a key in the store; 0 means that the key is absent.
using StoreRevision = std::int64_t;

/// \brief Number of a lease in the store; 0 means no lease.
using LeaseNumber = std::int64_t;

/// \brief Reads the current value of a key.
struct Get {
  std::string key;

  friend auto operator<=>(const Get&, const Get&) = default;
};

/// \brief Writes a key if its revision is still the expected one.
struct CompareAndSwap {
  std::string key;
  StoreRevision expected = 0;  ///< 0: the key must be absent
  std::string value;
  LeaseNumber lease = 0;  ///< the key is deleted when this lease ends; 0: kept

  friend auto operator<=>(const CompareAndSwap&, const CompareAndSwap&) = default;
};

/// \brief Asks for a new lease.
struct LeaseGrant {
  core::Duration ttl{};

  friend auto operator<=>(const LeaseGrant&, const LeaseGrant&) = default;
};

/// \brief Extends a lease by its full time to live.
struct LeaseKeepAlive {
  LeaseNumber lease = 0;

  friend auto operator<=>(const LeaseKeepAlive&, const LeaseKeepAlive&) = default;
};

/// \brief Ends a lease and deletes the keys attached to it.
struct LeaseRevoke {
  LeaseNumber lease = 0;

  friend auto operator<=>(const LeaseRevoke&, const LeaseRevoke&) = default;
};

/// \brief Waits for the first change of a key after a revision. One watch gives one event.
struct Watch {
  std::string key;
  StoreRevision after = 0;

  friend auto operator<=>(const Watch&, const Watch&) = default;
};

/// \brief Reads one page of the items whose keys begin with a prefix.
struct ReadPrefix {
  std::string prefix;
  std::string after_key;  ///< the page begins after this key; empty for the first page

  friend auto operator<=>(const ReadPrefix&, const ReadPrefix&) = default;
};

/// \brief Waits for changes of keys with a prefix after a revision; answered without a change when
/// `wait` is over.
struct WatchPrefix {
  std::string prefix;
  StoreRevision after = 0;
  core::Duration wait{};

  friend auto operator<=>(const WatchPrefix&, const WatchPrefix&) = default;
};

/// \brief One call to the platform's key-value store.
///
/// \code
/// const StoreRequest request = CompareAndSwap{"cornelrelay/catalogue", seen_revision, bytes};
/// \endcode
using StoreRequest = std::variant<Get, CompareAndSwap, LeaseGrant, LeaseKeepAlive, LeaseRevoke,
                                  Watch, ReadPrefix, WatchPrefix>;

/// \brief True when running the request twice has the effect of running it once.
bool IsRepeatable(const StoreRequest& request);

/// \brief True for requests that the store holds until something changes.
bool IsWatch(const StoreRequest& request);

/// \brief Name of the request's kind in logs and dumps, e.g. `compare_and_swap`.
std::string_view KindName(const StoreRequest& request);

}  // namespace cornelrelay::store
