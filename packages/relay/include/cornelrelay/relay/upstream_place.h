#pragma once

#include "cornelrelay/core/ids.h"
#include "cornelrelay/dispatch/dispatch_event.h"
#include "cornelrelay/relay/service_dispatchers.h"

namespace cornelrelay::relay {

/// \brief A request's place in the queue of its service's dispatcher and then on an upstream.
///
/// The destructor gives the place up, also when an exception ends the request.
///
/// \code
/// UpstreamPlace place(dispatchers, service, id);
/// place.Request(arrival, [&](const ServiceDispatchers::Decision& decision) { ... });
/// place.RecordAttemptEnd(dispatch::AttemptEnd::kCompleted);
/// \endcode
class UpstreamPlace {
 public:
  /// \param id names the place; unique among the places of the process
  UpstreamPlace(ServiceDispatchers& dispatchers, core::ServiceId service, core::RequestId id);
  ~UpstreamPlace();
  UpstreamPlace(const UpstreamPlace&) = delete;
  UpstreamPlace& operator=(const UpstreamPlace&) = delete;

  /// \brief Asks for an upstream; see ServiceDispatchers::Submit(). `arrival.request` is ignored.
  void Request(dispatch::RequestArrived arrival, ServiceDispatchers::OnDecision on_decision);
  /// \brief Asks for another upstream than those of the request's attempts; see
  /// ServiceDispatchers::SeekPlace(). `sought.request` is ignored.
  void Seek(dispatch::PlaceSought sought, ServiceDispatchers::OnDecision on_decision);
  void RecordOutput();
  void RecordAttemptEnd(dispatch::AttemptEnd end);

 private:
  ServiceDispatchers& m_dispatchers;
  core::ServiceId m_service;
  core::RequestId m_id;
};

}  // namespace cornelrelay::relay
