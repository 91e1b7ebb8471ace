#pragma once

#include <memory>
#include <utility>

#include "cornelrelay/balance/rank_state.h"

namespace cornelrelay::balance {

/// \brief Immutable layer map whose copies share one instance. The map of a large group takes some
/// ten thousand allocations, and every rank is sent the same one.
class SharedLayerMap {
 public:
  SharedLayerMap() : SharedLayerMap(LayerMap{}) {}
  explicit SharedLayerMap(LayerMap map) : m_map(std::make_shared<const LayerMap>(std::move(map))) {}

  const LayerMap& layers() const { return *m_map; }

  friend bool operator==(const SharedLayerMap& a, const SharedLayerMap& b) {
    return a.m_map == b.m_map || *a.m_map == *b.m_map;
  }

 private:
  std::shared_ptr<const LayerMap> m_map;
};

}  // namespace cornelrelay::balance
