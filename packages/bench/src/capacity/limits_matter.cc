#include <cassert>
#include <cstddef>
#include <string>
#include <vector>

#include "capacity/matters.h"
#include "capacity/meter.h"
#include "cornelrelay/core/random.h"
#include "cornelrelay/limits/admission_controller.h"

namespace cornelrelay::bench {
namespace {

using limits::AdmissionController;

const core::ServiceId kService("assistant");
constexpr int kRequests = 2000;

std::vector<limits::Member> Members(std::size_t count) {
  std::vector<limits::Member> members;
  for (std::size_t i = 0; i < count; ++i) {
    members.push_back({core::HostId("entry-" + std::to_string(i)), 1});
  }
  return members;
}

core::ClientAccountId Account(std::size_t index) {
  return core::ClientAccountId("account-" + std::to_string(index));
}

// One process of a settled deployment, and what it costs.
class Bench {
 public:
  Bench(std::size_t members, std::uint64_t seed)
      : m_random(seed), m_members(Members(members)), m_controller(Config()) {
    // Shares of 10 and more at 350 processes, so that nothing is refused here. Limits that the
    // members divide evenly would leave out the ranking of the members for the remainder.
    limits::ServiceLimits service;
    service.concurrency = 351'007;
    service.account = {3511, 351'007, 351'007, 3511};
    m_controller.Step(m_now, limits::LimitsChanged{kService, service});
    ChangeMembers(m_members);
    SettleAll();
    m_now += std::chrono::minutes(1);  // buckets start empty when a new process settles
  }

  std::size_t published() const { return m_published; }

  void Request(std::size_t account) {
    const core::RequestId id("request-" + std::to_string(++m_requests));
    limits::RequestArrived arrived;
    arrived.request = id;
    arrived.account = Account(account);
    arrived.service = kService;
    Step(arrived);
    m_now += std::chrono::milliseconds(1);
    Step(limits::RequestFinished{id});
  }
  void Hold(std::size_t account) {
    limits::RequestArrived arrived;
    arrived.request = core::RequestId("held-" + std::to_string(account));
    arrived.account = Account(account);
    arrived.service = kService;
    Step(arrived);
  }
  double CpuPerRequest(std::size_t accounts) {
    const double before = CpuMicroseconds();
    for (int i = 0; i < kRequests; ++i) Request(m_random.Below(accounts));
    return (CpuMicroseconds() - before) / kRequests;
  }
  /// CPU of the new view that a member's restart makes.
  double CpuPerView() {
    ++m_members.back().incarnation;
    const double before = CpuMicroseconds();
    ChangeMembers(m_members);
    return CpuMicroseconds() - before;
  }
  /// CPU of a report of the same members, as an entry process makes on each member record.
  double CpuPerReport() {
    constexpr int kReports = 20;
    const double before = CpuMicroseconds();
    for (int i = 0; i < kReports; ++i) ChangeMembers(m_members);
    return (CpuMicroseconds() - before) / kReports;
  }
  /// CPU of one of the statements that all other members make about the new view.
  double CpuPerStatement() {
    const std::uint64_t view = limits::ViewId(m_members);
    const double before = CpuMicroseconds();
    Step(limits::ConfirmationReceived{m_members[1].id, view, limits::Standing::kSettled,
                                      m_sequence + 1});
    return CpuMicroseconds() - before;
  }

 private:
  static limits::AdmissionConfig Config() {
    limits::AdmissionConfig config;
    config.shares.self = core::HostId("entry-0");
    return config;
  }
  void ChangeMembers(const std::vector<limits::Member>& members) {
    Step(limits::MembersChanged{members});
  }
  void SettleAll() {
    ++m_sequence;
    const std::uint64_t view = limits::ViewId(m_members);
    for (std::size_t i = 1; i < m_members.size(); ++i) {
      Step(limits::ConfirmationReceived{m_members[i].id, view, limits::Standing::kSettled,
                                        m_sequence});
    }
  }
  void Step(const limits::AdmissionEvent& event) {
    for (const auto& action : m_controller.Step(m_now, event)) {
      if (std::holds_alternative<limits::PublishConfirmation>(action)) ++m_published;
      assert(!std::holds_alternative<limits::RefuseRequest>(action));
    }
  }

  core::Random m_random;
  core::Instant m_now{std::chrono::hours(1)};
  std::vector<limits::Member> m_members;
  AdmissionController m_controller;
  std::uint64_t m_sequence = 0;
  std::size_t m_requests = 0;
  std::size_t m_published = 0;
};

}  // namespace

std::vector<Table> MeasureLimits(std::uint64_t seed) {
  Table accounts(
      "limits-accounts",
      "Admission on one of 350 entry processes, one request of each account running; a "
      "member change costs one view and the statements of 349 others; CPU is noisy",
      {"active_accounts", "heap_bytes", "heap_bytes_per_account", "cpu_us_per_request",
       "cpu_ms_per_report", "cpu_ms_per_view", "cpu_ms_per_statement", "cpu_s_per_member_change"});
  for (const std::size_t count : {10U, 100U, 500U, 1000U, 13000U}) {
    Bench bench(350, seed);
    const double before = HeapBytes();
    for (std::size_t i = 0; i < count; ++i) bench.Hold(i);
    const double heap = HeapBytes() - before;
    const double request = bench.CpuPerRequest(count);
    const double report = bench.CpuPerReport() / 1e3;
    const double view = bench.CpuPerView() / 1e3;
    const double statement = bench.CpuPerStatement() / 1e3;
    const auto n = static_cast<double>(count);
    accounts.Add(
        {n, heap, heap / n, request, report, view, statement, (view + 349 * statement) / 1e3});
  }
  // 26 requests/s that last 19 s (254 tokens at 75 ms) are 494 requests in progress in a process.
  for (const char* column :
       {"heap_bytes", "cpu_ms_per_report", "cpu_ms_per_statement", "cpu_s_per_member_change"}) {
    accounts.Fit("active_accounts", column, 494);
  }

  Table members("limits-members", "Admission with 500 active accounts; CPU is noisy",
                {"members", "heap_bytes", "cpu_us_per_request", "cpu_ms_per_statement",
                 "statements_per_change"});
  for (const std::size_t count : {8U, 50U, 150U, 350U}) {
    const double before = HeapBytes();
    Bench bench(count, seed);
    const double heap = HeapBytes() - before;
    for (std::size_t i = 0; i < 500; ++i) bench.Hold(i);
    const double request = bench.CpuPerRequest(500);
    const std::size_t published = bench.published();
    bench.CpuPerView();
    const double statement = bench.CpuPerStatement() / 1e3;
    members.Add({static_cast<double>(count), heap, request, statement,
                 static_cast<double>((bench.published() - published) * count)});
  }
  for (const char* column :
       {"heap_bytes", "cpu_us_per_request", "cpu_ms_per_statement", "statements_per_change"}) {
    members.Fit("members", column, 350);
  }
  return {accounts, members};
}

}  // namespace cornelrelay::bench
