#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <string>

#include "cornelrelay/core/time.h"

namespace cornelrelay::profile {

/// \brief Key of the encoded catalogue in the platform's store.
inline constexpr char kCatalogueKey[] = "cornelrelay/catalogue";

/// \brief Revision of the store key, counted by the store; 0 means that the key is absent.
///
/// It differs from CatalogueRevision, which is part of the value.
using KeyRevision = std::int64_t;

/// \brief Names a call of one machine; never reused by it.
using CallNumber = std::uint64_t;

struct KeyContent {
  std::string bytes;
  KeyRevision revision = 0;

  friend auto operator<=>(const KeyContent&, const KeyContent&) = default;
};

// Actions.

struct ReadCatalogueKey {
  CallNumber call = 0;

  friend auto operator<=>(const ReadCatalogueKey&, const ReadCatalogueKey&) = default;
};

/// \brief Write the key if its revision is still `expected`.
struct SwapCatalogueKey {
  CallNumber call = 0;
  KeyRevision expected = 0;
  std::string bytes;

  friend auto operator<=>(const SwapCatalogueKey&, const SwapCatalogueKey&) = default;
};

/// \brief Wait for the first change of the key after a revision.
struct WatchCatalogueKey {
  CallNumber call = 0;
  KeyRevision after = 0;

  friend auto operator<=>(const WatchCatalogueKey&, const WatchCatalogueKey&) = default;
};

struct CancelStoreCall {
  CallNumber call = 0;

  friend auto operator<=>(const CancelStoreCall&, const CancelStoreCall&) = default;
};

// Events.

/// \brief Answer to a read; empty when the key is absent.
struct CatalogueKeyRead {
  CallNumber call = 0;
  std::optional<KeyContent> content;

  friend auto operator<=>(const CatalogueKeyRead&, const CatalogueKeyRead&) = default;
};

struct CatalogueKeySwapped {
  CallNumber call = 0;

  friend auto operator<=>(const CatalogueKeySwapped&, const CatalogueKeySwapped&) = default;
};

struct CatalogueKeyNotSwapped {
  CallNumber call = 0;
  std::optional<KeyContent> current;

  friend auto operator<=>(const CatalogueKeyNotSwapped&, const CatalogueKeyNotSwapped&) = default;
};

/// \brief Answer to a watch; without bytes when the key was deleted.
struct CatalogueKeyChanged {
  CallNumber call = 0;
  std::optional<std::string> bytes;
  KeyRevision revision = 0;

  friend auto operator<=>(const CatalogueKeyChanged&, const CatalogueKeyChanged&) = default;
};

/// \brief A call of any kind ended without an answer of the store.
struct StoreCallFailed {
  CallNumber call = 0;
  bool outcome_unknown = false;  ///< a write may have taken effect, or may still do so
  core::Duration retry_after{};

  friend auto operator<=>(const StoreCallFailed&, const StoreCallFailed&) = default;
};

}  // namespace cornelrelay::profile
