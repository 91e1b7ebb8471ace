#include "cornelrelay/balance/map_delta.h"

#include <string>
#include <utility>

#include "cornelrelay/core/hash.h"

namespace cornelrelay::balance {
namespace {

bool SameShape(const LayerMap& a, const LayerMap& b) {
  if (a.size() != b.size()) return false;
  for (std::size_t set = 0; set < a.size(); ++set) {
    if (a[set].size() != b[set].size()) return false;
  }
  return true;
}

void AppendNumber(std::string& bytes, std::size_t number) {
  bytes.push_back(static_cast<char>(number & 0xff));
  bytes.push_back(static_cast<char>((number >> 8) & 0xff));
}

}  // namespace

MapDigest DigestOf(const LayerMap& map) {
  std::string bytes;
  for (const auto& ranks : map) {
    AppendNumber(bytes, ranks.size());
    for (const auto& experts : ranks) {
      AppendNumber(bytes, experts.size());
      for (const std::uint16_t expert : experts) AppendNumber(bytes, expert);
    }
  }
  return core::Hash64(bytes);
}

std::optional<MapDelta> DiffMaps(const LayerMap& base, const LayerMap& result) {
  if (!SameShape(base, result)) return std::nullopt;
  MapDelta delta;
  delta.base = DigestOf(base);
  delta.result = DigestOf(result);
  for (std::size_t set = 0; set < base.size(); ++set) {
    for (std::size_t rank = 0; rank < base[set].size(); ++rank) {
      if (base[set][rank] == result[set][rank]) continue;
      delta.changes.push_back(
          {static_cast<std::uint16_t>(set), static_cast<std::uint16_t>(rank), result[set][rank]});
    }
  }
  return delta;
}

std::optional<LayerMap> ApplyDelta(const LayerMap& base, const MapDelta& delta) {
  if (DigestOf(base) != delta.base) return std::nullopt;
  LayerMap result = base;
  for (const CellChange& change : delta.changes) {
    if (change.set >= result.size() || change.rank >= result[change.set].size()) {
      return std::nullopt;
    }
    result[change.set][change.rank] = change.experts;
  }
  if (DigestOf(result) != delta.result) return std::nullopt;
  return result;
}

}  // namespace cornelrelay::balance
