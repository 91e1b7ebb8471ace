#pragma once

#include <compare>
#include <cstdint>
#include <string>

namespace cornelrelay::wire {

/// \brief Largest catalogue: the store holds values of up to 1 MB.
inline constexpr std::size_t kMaxCatalogue = 1U << 20U;

/// \brief A watcher has just found this revision in the store; the receiver need not read it
/// itself.
struct CatalogueConfirm {
  std::uint64_t revision = 0;

  friend auto operator<=>(const CatalogueConfirm&, const CatalogueConfirm&) = default;
};

/// \brief Asks for a catalogue newer than `revision`.
struct CatalogueFetch {
  std::uint64_t revision = 0;

  friend auto operator<=>(const CatalogueFetch&, const CatalogueFetch&) = default;
};

/// \brief The sender's catalogue; `bytes` is empty if it has none newer than asked.
struct CatalogueTransfer {
  std::uint64_t revision = 0;
  std::string bytes;

  friend auto operator<=>(const CatalogueTransfer&, const CatalogueTransfer&) = default;
};

}  // namespace cornelrelay::wire
