#pragma once

#include <compare>

#include "cornelrelay/core/endpoint.h"
#include "cornelrelay/core/ids.h"
#include "cornelrelay/gossip/member_state.h"

namespace cornelrelay::gossip {

/// \brief One host of the platform's host list, which lags by 30 s.
struct HostListEntry {
  core::HostId host;
  Role role = Role::kEntry;
  core::DataCentreId data_centre;
  core::Endpoint control;
  bool leaving = false;

  friend auto operator<=>(const HostListEntry&, const HostListEntry&) = default;
};

}  // namespace cornelrelay::gossip
