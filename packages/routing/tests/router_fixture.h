#pragma once

#include <string>
#include <vector>

#include "cornelrelay/routing/replica_router.h"

namespace cornelrelay::routing {

inline core::Instant At(std::int64_t milliseconds) {
  return core::Instant(std::chrono::milliseconds(milliseconds));
}

inline core::UpstreamId Replica(std::size_t index) {
  std::string name("replica-");
  name.append(index < 10 ? "0" : "").append(std::to_string(index));
  return core::UpstreamId(name);
}

inline std::vector<ReplicaStatus> Fleet(std::size_t size) {
  std::vector<ReplicaStatus> fleet;
  for (std::size_t i = 0; i < size; ++i) {
    ReplicaStatus status;
    status.id = Replica(i);
    status.data_centre = core::DataCentreId("dc-" + std::to_string(i % 3));
    status.slots = 8;
    fleet.push_back(status);
  }
  return fleet;
}

/// \brief Starts, finishes and fails numbered attempts on one router.
class Driver {
 public:
  explicit Driver(RouterConfig config, std::vector<ReplicaStatus> fleet)
      : m_router(std::move(config)) {
    m_router.Step(At(0), ReplicaSetUpdated{std::move(fleet)});
  }

  ReplicaRouter& router() { return m_router; }

  /// \brief Starts an attempt on the replica that the router chooses, and returns the replica.
  core::UpstreamId Start(core::Instant now, const RouteQuery& query = {}) {
    const RoutingDecision decision = m_router.Choose(now, query);
    m_router.Step(now, AttemptStarted{AttemptIdOf(++m_started), decision.chosen.value(), query.size,
                                      query.prefix_key});
    return *decision.chosen;
  }
  void Finish(core::Instant now, std::size_t attempt) {
    m_router.Step(now, FirstTokenReceived{AttemptIdOf(attempt)});
    m_router.Step(now, AttemptFinished{AttemptIdOf(attempt), 0});
  }
  void Fail(core::Instant now, std::size_t attempt) {
    m_router.Step(now, AttemptFailed{AttemptIdOf(attempt)});
  }
  /// \brief Number of the attempt started last; the first is 1.
  std::size_t last_attempt() const { return m_started; }

 private:
  static core::AttemptId AttemptIdOf(std::size_t attempt) {
    return core::AttemptId("attempt-" + std::to_string(attempt));
  }

  ReplicaRouter m_router;
  std::size_t m_started = 0;
};

}  // namespace cornelrelay::routing
