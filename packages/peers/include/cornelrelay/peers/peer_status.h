#pragma once

#include <cstdint>
#include <optional>
#include <vector>

#include "cornelrelay/core/endpoint.h"
#include "cornelrelay/core/ids.h"
#include "cornelrelay/core/time.h"
#include "cornelrelay/quarantine/suspect_report.h"
#include "cornelrelay/store/store_version.h"

namespace cornelrelay::peers {

/// \brief Number of requests that a process has in flight on an upstream.
struct UpstreamLoad {
  core::UpstreamId upstream;
  std::uint32_t in_flight = 0;

  friend bool operator==(const UpstreamLoad&, const UpstreamLoad&) = default;
};

/// \brief Number of requests of a service and a priority that are queued in a process.
struct ServiceQueue {
  core::ServiceId service;
  std::uint8_t priority = 0;  ///< 0 is the highest
  std::uint32_t waiting = 0;

  friend bool operator==(const ServiceQueue&, const ServiceQueue&) = default;
};

/// \brief What an answer of an upstream to the sender said of a rate limit.
struct RateLimitReport {
  core::UpstreamId upstream;
  std::optional<double> per_second;  ///< empty: the upstream names no limit any more
  core::Duration age{};              ///< time since the answer

  friend bool operator==(const RateLimitReport&, const RateLimitReport&) = default;
};

/// \brief Status that an entry process sends to the others several times a second.
struct PeerStatus {
  core::HostId host;
  core::Endpoint endpoint;            ///< where the sender receives statuses and serves its items
  std::uint64_t incarnation = 0;      ///< increases with each start of the sender
  std::uint64_t sequence = 0;         ///< increases with each status of an incarnation
  store::StoreVersion items_version;  ///< the sender holds the items of the store up to here
  std::uint64_t configuration_version = 0;  ///< version of the configuration in force; 0 if none
  bool store_connected = false;             ///< the sender itself is connected to the store
  core::DataCentreId data_centre;
  std::vector<UpstreamLoad> loads;
  std::vector<ServiceQueue> queues;
  std::vector<quarantine::SuspectReport> suspects;
  std::vector<RateLimitReport> rate_limits;

  friend bool operator==(const PeerStatus&, const PeerStatus&) = default;
};

}  // namespace cornelrelay::peers
