#pragma once

#include <nlohmann/json_fwd.hpp>

#include "cornelrelay/entry/admission_hub.h"
#include "cornelrelay/entry/caller_gateway.h"
#include "cornelrelay/entry/catalogue_service.h"
#include "cornelrelay/entry/claim_hub.h"
#include "cornelrelay/entry/crash_hub.h"
#include "cornelrelay/runtime/control_plane.h"
#include "cornelrelay/runtime/store_link.h"

namespace cornelrelay::entry::internal {

/// \brief Parts of an entry process that appear in its dump.
struct DumpSources {
  const CallerGateway& gateway;
  const ServiceMap& services;
  const AdmissionHub& admission;
  const ClaimHub& claims;
  const CrashHub& crashes;
  const CatalogueService& catalogues;
  const runtime::ControlPlane& control;
  const runtime::StoreLink& store;
  core::Instant now;
};

/// \brief The whole state as JSON, without credentials and request contents.
nlohmann::json DumpOf(const DumpSources& sources);

}  // namespace cornelrelay::entry::internal
