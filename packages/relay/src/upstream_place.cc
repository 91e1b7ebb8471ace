#include "cornelrelay/relay/upstream_place.h"

#include <utility>

namespace cornelrelay::relay {

UpstreamPlace::UpstreamPlace(ServiceDispatchers& dispatchers, core::ServiceId service,
                             core::RequestId id)
    : m_dispatchers(dispatchers), m_service(std::move(service)), m_id(std::move(id)) {}

UpstreamPlace::~UpstreamPlace() { m_dispatchers.Withdraw(m_service, m_id); }

void UpstreamPlace::Request(dispatch::RequestArrived arrival,
                            ServiceDispatchers::OnDecision on_decision) {
  arrival.request = m_id;
  m_dispatchers.Submit(m_service, arrival, std::move(on_decision));
}

void UpstreamPlace::Seek(dispatch::PlaceSought sought, ServiceDispatchers::OnDecision on_decision) {
  sought.request = m_id;
  m_dispatchers.SeekPlace(m_service, sought, std::move(on_decision));
}

void UpstreamPlace::RecordOutput() { m_dispatchers.RecordFirstOutput(m_service, m_id); }

void UpstreamPlace::RecordAttemptEnd(dispatch::AttemptEnd end) {
  m_dispatchers.RecordAttemptEnd(m_service, m_id, end);
}

}  // namespace cornelrelay::relay
