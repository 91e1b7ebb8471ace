#include "cornelrelay/entry/admission_hub.h"

#include <chrono>
#include <utility>
#include <variant>

#include "cornelrelay/core/overloaded.h"

namespace cornelrelay::entry {
namespace {

/// Rate limits refill and queued deadlines pass without events of their own.
constexpr std::chrono::milliseconds kTick{20};

request::RequestError ErrorOf(limits::RefusalReason reason) {
  switch (reason) {
    case limits::RefusalReason::kUnknownService:
      return request::RequestError::kNoReplica;
    case limits::RefusalReason::kNoShare:
    case limits::RefusalReason::kQueueFull:
      return request::RequestError::kOverloaded;
    case limits::RefusalReason::kDeadline:
      return request::RequestError::kDeadlineUnreachable;
  }
  return request::RequestError::kOverloaded;
}

}  // namespace

AdmissionHub::AdmissionHub(boost::asio::io_context& context, const runtime::ProcessClock& clock,
                           limits::AdmissionConfig config, PublishStanding publish)
    : m_clock(clock),
      m_controller(std::move(config)),
      m_publish(std::move(publish)),
      m_timer(context, clock, [this] { Step(limits::TickElapsed{}); }) {
  m_timer.SetAt(m_clock.Now() + kTick);
}

void AdmissionHub::Arrive(const limits::RequestArrived& arrival, Notify notify) {
  m_waiting.emplace(arrival.request, std::move(notify));
  Step(arrival);
}

void AdmissionHub::Finish(const core::RequestId& request) {
  Step(limits::RequestFinished{request, true});
}

void AdmissionHub::Cancel(const core::RequestId& request) {
  m_waiting.erase(request);
  Step(limits::RequestCancelled{request});
}

void AdmissionHub::SetLimits(const core::ServiceId& service, const limits::ServiceLimits& limits) {
  Step(limits::LimitsChanged{service, limits});
}

void AdmissionHub::SetMembers(std::vector<limits::Member> members) {
  Step(limits::MembersChanged{std::move(members)});
}

void AdmissionHub::Receive(const limits::ConfirmationReceived& statement) { Step(statement); }

void AdmissionHub::Step(const limits::AdmissionEvent& event) {
  for (const auto& action : m_controller.Step(m_clock.Now(), event)) {
    std::visit(
        core::Overloaded{
            [this](const limits::StartRequest& start) { Tell(start.request, request::Admitted{}); },
            [](const limits::QueueRequest&) {},
            [this](const limits::RefuseRequest& refusal) { Refuse(refusal); },
            [this](const limits::PublishConfirmation& standing) { m_publish(standing); }},
        action);
  }
  if (std::holds_alternative<limits::TickElapsed>(event)) m_timer.SetAt(m_clock.Now() + kTick);
}

void AdmissionHub::Refuse(const limits::RefuseRequest& refusal) {
  Tell(refusal.request, request::Refused{ErrorOf(refusal.reason), refusal.retry_after});
}

void AdmissionHub::Tell(const core::RequestId& request, const request::RequestEvent& event) {
  const auto found = m_waiting.find(request);
  if (found == m_waiting.end()) return;
  const Notify notify = std::move(found->second);
  m_waiting.erase(found);
  notify(event);
}

}  // namespace cornelrelay::entry
