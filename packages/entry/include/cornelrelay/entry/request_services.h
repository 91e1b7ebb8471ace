#pragma once

#include <boost/asio/io_context.hpp>
#include <cstddef>
#include <string>

#include "cornelrelay/core/ids.h"
#include "cornelrelay/entry/admission_hub.h"
#include "cornelrelay/entry/claim_port.h"
#include "cornelrelay/entry/crash_port.h"
#include "cornelrelay/net/http_client.h"
#include "cornelrelay/runtime/process_clock.h"
#include "cornelrelay/settings/size_limits.h"
#include "cornelrelay/telemetry/decision_log.h"
#include "cornelrelay/telemetry/json_log.h"
#include "cornelrelay/telemetry/metric_registry.h"

namespace cornelrelay::entry {

/// \brief The parts of an entry process that every request task uses.
struct RequestServices {
  boost::asio::io_context& context;
  const runtime::ProcessClock& clock;
  net::HttpClient& client;
  AdmissionHub& admission;
  ClaimPort& claims;
  CrashPort& crashes;
  telemetry::DecisionLog& decisions;
  telemetry::MetricRegistry& metrics;
  telemetry::JsonLog& log;
  settings::SizeLimits limits;
};

}  // namespace cornelrelay::entry
