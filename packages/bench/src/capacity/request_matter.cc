#include <string>
#include <utility>
#include <vector>

#include "capacity/matters.h"
#include "capacity/meter.h"
#include "cornelrelay/request/request_machine.h"
#include "cornelrelay/request/stream_verifier.h"
#include "cornelrelay/telemetry/decision_log.h"

namespace cornelrelay::bench {
namespace {

request::RequestMachine Machine(std::size_t number) {
  request::RequestPolicy policy;
  policy.idempotent = true;
  policy.max_attempts = 3;
  policy.deadline = std::chrono::seconds(30);
  request::RequestAttributes facts;
  facts.id = core::RequestId("01938f3a-0000-7000-8000-" + std::to_string(100000000000 + number));
  facts.attempt_prefix = facts.id.value();
  facts.resumable = true;
  return request::RequestMachine(policy, facts, core::Instant{});
}

telemetry::DecisionRecord Record(std::size_t number, std::size_t candidates) {
  telemetry::DecisionRecord record;
  record.request =
      core::RequestId("01938f3a-0000-7000-8000-" + std::to_string(100000000000 + number));
  record.account = core::ClientAccountId("account-12345");
  record.service = core::ServiceId("assistant");
  for (std::size_t i = 0; i < candidates; ++i) {
    telemetry::CandidateRecord candidate;
    candidate.upstream = core::UpstreamId("replica-" + std::to_string(i));
    candidate.exclusion = "not_sampled";
    record.candidates.push_back(std::move(candidate));
  }
  record.attempts.push_back(
      {core::AttemptId(record.request.value() + "/1"), core::UpstreamId("replica-1"), "completed"});
  record.outcome = "completed";
  return record;
}

}  // namespace

std::vector<Table> MeasureRequests() {
  Table requests("requests",
                 "Requests in progress: request machine and stream verifier, without sockets and "
                 "buffers",
                 {"requests", "heap_bytes", "heap_bytes_per_request"});
  for (const std::size_t count : {10U, 100U, 1000U, 4000U}) {
    const double before = HeapBytes();
    std::vector<request::RequestMachine> machines;
    std::vector<request::StreamVerifier> verifiers;
    machines.reserve(count);
    verifiers.reserve(count);
    for (std::size_t i = 0; i < count; ++i) {
      machines.push_back(Machine(i));
      machines.back().Step(core::Instant{}, request::Started{});
      verifiers.emplace_back(core::AttemptId("01938f3a-0000-7000-8000-100000000000/1"));
    }
    const double heap = HeapBytes() - before;
    requests.Add({static_cast<double>(count), heap, heap / static_cast<double>(count)});
  }
  // Half of the nodes gone: 52 requests/s that last 19 s.
  requests.Fit("requests", "heap_bytes", 988);

  Table log("decision-log", "Decision log with 2,000 records; all replicas of a service are noted",
            {"candidates", "heap_bytes", "heap_bytes_per_record"});
  for (const std::size_t candidates : {3U, 16U, 85U, 400U, 940U}) {
    const double before = HeapBytes();
    telemetry::DecisionLog decisions(2'000);
    for (std::size_t i = 0; i < 2'000; ++i) decisions.Append(Record(i, candidates));
    const double heap = HeapBytes() - before;
    log.Add({static_cast<double>(candidates), heap, heap / 2'000});
  }
  log.Fit("candidates", "heap_bytes", 940);
  return {requests, log};
}

}  // namespace cornelrelay::bench
