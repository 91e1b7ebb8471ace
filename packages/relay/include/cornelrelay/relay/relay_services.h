#pragma once

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <functional>
#include <memory>

#include "cornelrelay/directory/upstream_directory.h"
#include "cornelrelay/limits/byte_budget.h"
#include "cornelrelay/net/http_client.h"
#include "cornelrelay/relay/caller_protocol.h"
#include "cornelrelay/relay/crash_probe.h"
#include "cornelrelay/relay/quarantine_service.h"
#include "cornelrelay/relay/retry_budgets.h"
#include "cornelrelay/relay/service_dispatchers.h"
#include "cornelrelay/relay/shutdown_limit.h"
#include "cornelrelay/relay/upstream_protocol.h"
#include "cornelrelay/runtime/pause_detector.h"
#include "cornelrelay/runtime/process_clock.h"
#include "cornelrelay/telemetry/json_log.h"
#include "cornelrelay/telemetry/metric_registry.h"

namespace cornelrelay::relay {

/// \brief The parts of a relay process that every RelayTask uses.
struct RelayServices {
  boost::asio::io_context& context;
  const runtime::ProcessClock& clock;
  net::HttpClient& client;
  const CallerProtocol& callers;
  const UpstreamProtocol& upstreams;
  ServiceDispatchers& dispatchers;
  const directory::UpstreamDirectory& directory;
  /// Called for each answer of an upstream, of this incarnation, that says that it leaves.
  std::function<void(const core::UpstreamId& upstream, std::uint64_t incarnation)>
      on_upstream_leaving;
  RetryBudgets& retries;
  const CrashProbe& crash_probe;
  runtime::PauseDetector& pauses;
  QuarantineService& quarantine;
  const ShutdownLimit& shutdown;
  std::shared_ptr<limits::ByteBudget> request_bytes;   ///< bodies of the requests in progress
  std::shared_ptr<limits::ByteBudget> response_bytes;  ///< parts of responses, before they are sent
  telemetry::MetricRegistry& metrics;
  telemetry::JsonLog& log;
};

}  // namespace cornelrelay::relay
