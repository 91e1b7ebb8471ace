#include <cmath>
#include <deque>
#include <map>
#include <memory>
#include <string>

#include "cornelrelay/core/overloaded.h"
#include "cornelrelay/core/random.h"
#include "cornelrelay/limits/admission_controller.h"
#include "cornelrelay/policybench/event_loop.h"
#include "cornelrelay/policybench/matters.h"
#include "cornelrelay/policybench/sample.h"

namespace cornelrelay::policybench {

namespace {

constexpr std::size_t kProcesses = 4;
constexpr std::size_t kAccounts = 10;
constexpr std::uint64_t kSlots = 64;
constexpr double kServiceSeconds = 0.1;
constexpr double kSmallLoad = 0.7;  // each account, relative to an equal share of the slots
constexpr double kNoisyFactor = 10;
constexpr std::uint64_t kQueue = 400;
constexpr core::Duration kWarmUp = std::chrono::seconds(10);
constexpr core::Duration kEnd = std::chrono::seconds(130);

enum class Scheme { kOurs, kFairQueueOnly, kFifo };

core::Duration Seconds(double seconds) {
  return core::Duration(static_cast<core::Duration::rep>(seconds * 1e6));
}

struct Request {
  std::size_t account = 0;
  core::Instant arrival{};
  double service_seconds = 0;
};

class FairnessRun {
 public:
  FairnessRun(Scheme scheme, bool noisy, std::uint64_t seed) : m_scheme(scheme), m_random(seed) {
    for (std::size_t i = 0; i < kProcesses; ++i) {
      m_processes.push_back(std::make_unique<Process>(Host(i)));
    }
    StartControllers();
    const double share = static_cast<double>(kSlots) / kServiceSeconds / kAccounts;
    for (std::size_t account = 0; account < kAccounts; ++account) {
      const double rate = account == 0 && noisy ? kNoisyFactor * share : kSmallLoad * share;
      // A stream of its own for each account, so that the noisy one does not change the others'
      // arrivals.
      core::Random arrivals(seed * 100 + account);
      for (double at = 0; at < std::chrono::duration<double>(kEnd).count();) {
        at += -std::log(1 - arrivals.Unit()) / rate;
        m_requests.push_back({account, core::Instant(Seconds(at)),
                              -kServiceSeconds * std::log(1 - arrivals.Unit())});
      }
    }
  }

  void Run() {
    for (std::size_t i = 0; i < m_requests.size(); ++i) {
      m_loop.At(m_requests[i].arrival, [this, i](core::Instant now) { Arrive(now, i); });
    }
    for (core::Duration at{}; at < kEnd; at += std::chrono::milliseconds(50)) {
      m_loop.At(core::Instant(at), [this](core::Instant now) {
        if (m_scheme == Scheme::kFifo) return;
        for (auto& process : m_processes) Handle(now, *process, limits::TickElapsed{});
      });
    }
    m_loop.RunUntil(core::Instant(kEnd));
  }

  double SmallP95() const { return Quantile(m_small_ms, 0.95); }
  double SmallP50() const { return Quantile(m_small_ms, 0.5); }
  double SmallRefused() const { return 100 * m_small_refused / m_small_sent; }
  double NoisyRate() const {
    return m_noisy_done / std::chrono::duration<double>(kEnd - kWarmUp).count();
  }

 private:
  struct Process {
    explicit Process(const core::HostId& host) : controller(Config(host)) {}
    static limits::AdmissionConfig Config(const core::HostId& host) {
      limits::AdmissionConfig config;
      config.shares.self = host;
      return config;
    }
    limits::AdmissionController controller;
    std::deque<std::size_t> fifo{};
    std::size_t running = 0;
  };

  static core::HostId Host(std::size_t i) { return core::HostId("entry-" + std::to_string(i)); }

  void StartControllers() {
    std::vector<limits::Member> members;
    for (std::size_t i = 0; i < kProcesses; ++i) members.push_back({Host(i), 1});
    const std::uint64_t concurrency = m_scheme == Scheme::kOurs ? kSlots / 4 : kSlots;
    const limits::ServiceLimits service{
        kSlots, {concurrency, 100000, 100000, kQueue / kAccounts}, {}};
    const core::Instant start{};
    for (auto& process : m_processes) {
      process->controller.Step(start, limits::LimitsChanged{core::ServiceId("s"), service});
      process->controller.Step(start, limits::MembersChanged{members});
    }
    for (auto& process : m_processes) {
      for (const limits::Member& member : members) {
        process->controller.Step(start,
                                 limits::ConfirmationReceived{member.id, limits::ViewId(members),
                                                              limits::Standing::kSettled, 1});
      }
    }
  }

  void Arrive(core::Instant now, std::size_t i) {
    Process& process = *m_processes[m_random.Below(kProcesses)];
    m_owner[i] = &process;
    if (Measured(i)) m_small_sent += m_requests[i].account == 0 ? 0 : 1;
    if (m_scheme == Scheme::kFifo) {
      if (process.fifo.size() >= kQueue / kProcesses) {
        Refused(i);
        return;
      }
      process.fifo.push_back(i);
      DrainFifo(now, process);
      return;
    }
    limits::RequestArrived arrived;
    arrived.request = core::RequestId(std::to_string(i));
    arrived.account = core::ClientAccountId("account-" + std::to_string(m_requests[i].account));
    arrived.service = core::ServiceId("s");
    Handle(now, process, arrived);
  }

  void Handle(core::Instant now, Process& process, const limits::AdmissionEvent& event) {
    for (const limits::AdmissionAction& action : process.controller.Step(now, event)) {
      std::visit(
          core::Overloaded{
              [&](const limits::StartRequest& a) { Start(now, std::stoul(a.request.value())); },
              [&](const limits::RefuseRequest& a) { Refused(std::stoul(a.request.value())); },
              [](const auto&) {}},
          action);
    }
  }

  void DrainFifo(core::Instant now, Process& process) {
    while (process.running < kSlots / kProcesses && !process.fifo.empty()) {
      const std::size_t i = process.fifo.front();
      process.fifo.pop_front();
      ++process.running;
      Start(now, i);
    }
  }

  void Start(core::Instant now, std::size_t i) {
    m_loop.At(now + Seconds(m_requests[i].service_seconds), [this, i](core::Instant at) {
      Process& process = *m_owner.at(i);
      if (Measured(i)) {
        const double ms =
            std::chrono::duration<double, std::milli>(at - m_requests[i].arrival).count();
        if (m_requests[i].account == 0) {
          ++m_noisy_done;
        } else {
          m_small_ms.push_back(ms);
        }
      }
      if (m_scheme == Scheme::kFifo) {
        --process.running;
        DrainFifo(at, process);
      } else {
        Handle(at, process, limits::RequestFinished{core::RequestId(std::to_string(i))});
      }
    });
  }

  void Refused(std::size_t i) {
    if (Measured(i) && m_requests[i].account != 0) ++m_small_refused;
  }

  bool Measured(std::size_t i) const { return m_requests[i].arrival >= core::Instant(kWarmUp); }

  Scheme m_scheme;
  core::Random m_random;
  EventLoop m_loop;
  std::vector<Request> m_requests;
  std::vector<std::unique_ptr<Process>> m_processes;
  std::map<std::size_t, Process*> m_owner;
  std::vector<double> m_small_ms;
  double m_small_sent = 0;
  double m_small_refused = 0;
  double m_noisy_done = 0;
};

}  // namespace

Table FairnessTable(std::uint64_t seed) {
  Table table("fairness", {"scheme", "account sending 10 x its share", "small p50 ms",
                           "small p95 ms", "p95 / without", "small refused %", "noisy done/s"});
  const std::map<std::string, Scheme> schemes{{"ours: fair queue, account limit", Scheme::kOurs},
                                              {"fair queue alone", Scheme::kFairQueueOnly},
                                              {"FIFO", Scheme::kFifo}};
  for (const auto& [name, scheme] : schemes) {
    double quiet = 0;
    for (const bool noisy : {false, true}) {
      FairnessRun run(scheme, noisy, seed);
      run.Run();
      if (!noisy) quiet = run.SmallP95();
      table.Add({name, noisy ? "yes" : "no", Number(run.SmallP50()), Number(run.SmallP95()),
                 Number(run.SmallP95() / quiet, 3), Number(run.SmallRefused()),
                 Number(run.NoisyRate(), 0)});
    }
  }
  table.Note(
      "10 accounts, 64 slots over 4 entry processes, exponential service of 100 ms, 70% load "
      "without the noisy "
      "account. Goal: at most 1.1.");
  return table;
}

}  // namespace cornelrelay::policybench
