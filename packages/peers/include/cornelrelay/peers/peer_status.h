#pragma once

#include <cstdint>
#include <vector>

#include "cornelrelay/core/endpoint.h"
#include "cornelrelay/core/ids.h"

namespace cornelrelay::peers {

/// \brief Requests that a process has in flight on an upstream.
struct UpstreamLoad {
  core::UpstreamId upstream;
  std::uint32_t in_flight = 0;

  friend bool operator==(const UpstreamLoad&, const UpstreamLoad&) = default;
};

/// \brief Requests of a service that wait in a process for a place.
struct ServiceQueue {
  core::ServiceId service;
  std::uint32_t waiting = 0;

  friend bool operator==(const ServiceQueue&, const ServiceQueue&) = default;
};

/// \brief What an entry process tells the others several times a second.
struct PeerStatus {
  core::HostId host;
  core::Endpoint endpoint;          ///< where the sender takes bulletins and serves its items
  std::uint64_t incarnation = 0;    ///< rises with each start of the sender
  std::uint64_t sequence = 0;       ///< rises with each bulletin of a start
  std::int64_t items_revision = 0;  ///< the sender holds the store's items up to this revision
  bool store_connected = false;     ///< the sender hears the store itself
  std::vector<UpstreamLoad> loads;
  std::vector<ServiceQueue> queues;

  friend bool operator==(const PeerStatus&, const PeerStatus&) = default;
};

}  // namespace cornelrelay::peers
