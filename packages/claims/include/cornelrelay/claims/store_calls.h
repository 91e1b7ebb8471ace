#pragma once

#include <cstdint>
#include <string>

namespace cornelrelay::claims {

/// \brief Pairs a store call with its result; unique within one ClaimOwner.
using StoreCallId = std::uint64_t;

/// \brief Store revision of a key; 0 means that the key is absent.
using StoreRevision = std::uint64_t;

/// \brief Action: read a key.
struct StoreRead {
  StoreCallId call = 0;
  std::string key;
  friend bool operator==(const StoreRead&, const StoreRead&) = default;
};

/// \brief Action: write `value` if the key is at revision `expected`. An empty value removes the
/// key.
struct StoreSwap {
  StoreCallId call = 0;
  std::string key;
  StoreRevision expected = 0;
  std::string value;
  friend bool operator==(const StoreSwap&, const StoreSwap&) = default;
};

/// \brief Event: the answer to a StoreRead.
struct StoreReadDone {
  StoreCallId call = 0;
  StoreRevision revision = 0;
  std::string value;
  friend bool operator==(const StoreReadDone&, const StoreReadDone&) = default;
};

/// \brief Event: the answer to a StoreSwap; `revision` is the new revision when `swapped`.
struct StoreSwapDone {
  StoreCallId call = 0;
  bool swapped = false;
  StoreRevision revision = 0;
  friend bool operator==(const StoreSwapDone&, const StoreSwapDone&) = default;
};

/// \brief Event: no answer arrived; a swap may have taken effect or may still do so.
struct StoreAnswerLost {
  StoreCallId call = 0;
  friend bool operator==(const StoreAnswerLost&, const StoreAnswerLost&) = default;
};

/// \brief Event: the store cannot be reached or refused the call. A swap is still treated as
/// possibly applied.
struct StoreUnavailable {
  StoreCallId call = 0;
  friend bool operator==(const StoreUnavailable&, const StoreUnavailable&) = default;
};

}  // namespace cornelrelay::claims
