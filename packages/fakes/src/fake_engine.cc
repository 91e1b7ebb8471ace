#include "cornelrelay/fakes/fake_engine.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/scope_exit.hpp>
#include <cstdlib>
#include <map>
#include <nlohmann/json.hpp>
#include <utility>

#include "batch_slots.h"
#include "completion.h"
#include "cornelrelay/core/hash.h"
#include "cornelrelay/fakes/engine_faults.h"
#include "cornelrelay/fakes/json_response.h"
#include "cornelrelay/net/errors.h"
#include "cornelrelay/net/http_server.h"
#include "lagging_load.h"
#include "prefix_cache.h"

namespace cornelrelay::fakes {
namespace {

namespace asio = boost::asio;
using internal::Completion;

constexpr int kCrashExitCode = 70;
constexpr std::size_t kPrefixBytes = 64;
constexpr std::size_t kBytesPerToken = 4;
/// Each running request lengthens a step by this share.
constexpr double kStepGrowthPerRequest = 0.01;
constexpr std::chrono::seconds kStall{3600};

}  // namespace

class FakeEngine::Impl : public std::enable_shared_from_this<FakeEngine::Impl> {
 public:
  Impl(asio::io_context& context, EngineOptions options)
      : m_context(context),
        m_options(std::move(options)),
        m_slots(m_options.batch_slots),
        m_cache(m_options.cached_prefixes),
        m_load(m_options.load_lag),
        m_server(context, m_options.listen, {}, std::nullopt,
                 [this](net::HttpRequest request, net::ResponseStream& response) {
                   return Handle(std::move(request), response);
                 }) {}

  void Start() { m_server.Start(); }

 private:
  asio::awaitable<void> Handle(net::HttpRequest request, net::ResponseStream& response) {
    if (request.target == "/v1/chat/completions") {
      co_await Complete(request, response);
      co_return;
    }
    net::HttpResponse answer = Control(request);
    co_await response.SendWhole(std::move(answer));
  }

  net::HttpResponse Control(const net::HttpRequest& request) {
    if (request.target == "/load") return Load();
    if (request.target.starts_with("/cache_events")) return CacheEvents();
    if (request.target == "/faults") {
      m_faults = ParseEngineFaults(nlohmann::json::parse(request.body));
      return JsonResponse(200, {{"ok", true}});
    }
    if (request.target == "/orders") return Order(nlohmann::json::parse(request.body));
    if (request.target == "/runs") return JsonResponse(200, {{"runs", m_runs}});
    return JsonResponse(404, {{"error", "unknown path"}});
  }

  net::HttpResponse Load() const {
    const auto load = m_load.At(std::chrono::steady_clock::now());
    return JsonResponse(200, {{"running", load.running},
                              {"waiting", load.waiting},
                              {"slots", m_options.batch_slots},
                              {"lag_ms", m_options.load_lag.count()}});
  }

  net::HttpResponse CacheEvents() const {
    nlohmann::json events = nlohmann::json::array();
    for (const auto& event : m_cache.Since(0)) {
      events.push_back(
          {{"sequence", event.sequence}, {"prefix", event.prefix}, {"stored", event.stored}});
    }
    return JsonResponse(200, {{"events", events}});
  }

  net::HttpResponse Order(const nlohmann::json& order) {
    const auto fence = order.value("fence", std::uint64_t{0});
    if (m_options.honours_fencing && fence < m_highest_fence) {
      return JsonResponse(409, {{"error", "old fencing number"}, {"highest", m_highest_fence}});
    }
    m_highest_fence = std::max(m_highest_fence, fence);
    m_orders.push_back(order);
    return JsonResponse(200, {{"accepted", m_orders.size()}});
  }

  asio::awaitable<void> Complete(const net::HttpRequest& request, net::ResponseStream& response) {
    Completion completion;
    bool malformed = false;
    try {
      completion = internal::ParseCompletion(request);
    } catch (const nlohmann::json::exception&) {
      malformed = true;
    }
    if (malformed) {
      net::HttpResponse answer = MalformedBody();
      co_await response.SendWhole(std::move(answer));
      co_return;
    }
    if (completion.prompt.find("[[crash]]") != std::string::npos) std::_Exit(kCrashExitCode);
    ++m_runs[completion.attempt_id];
    co_await m_slots.Acquire(m_context.get_executor(), completion.priority);
    BOOST_SCOPE_EXIT_ALL(this) {
      m_slots.Release();
      SampleLoad();
    };
    SampleLoad();
    co_await Prefill(completion);
    if (completion.stream) {
      co_await Stream(completion, response);
    } else {
      co_await Sleep(m_options.step_time * completion.max_tokens);
      net::HttpResponse answer;
      answer.headers["Content-Type"] = "application/json";
      answer.body = internal::WholeJson(completion);
      co_await response.SendWhole(std::move(answer));
    }
  }

  // Braced initializer lists inside a coroutine are miscompiled by g++ 12, so answers are built
  // outside.
  static net::HttpResponse MalformedBody() {
    return JsonResponse(400, {{"error", "malformed body"}});
  }

  void SampleLoad() {
    m_load.Add({std::chrono::steady_clock::now(), m_slots.running(), m_slots.waiting()});
  }

  asio::awaitable<void> Prefill(const Completion& completion) {
    if (m_faults.stalled) {
      co_await Sleep(kStall);
    }
    const auto prefix = core::Hash64(completion.prompt.substr(0, kPrefixBytes));
    const bool hit = m_cache.Touch(prefix);
    const std::size_t tokens = completion.prompt.size() / kBytesPerToken + 1;
    co_await Sleep(m_options.prefill_per_token * (hit ? tokens / 8 : tokens));
  }

  asio::awaitable<void> Stream(const Completion& completion, net::ResponseStream& response) {
    net::HttpResponseHead head;
    head.status = 200;
    head.headers["Content-Type"] = "text/event-stream";
    co_await response.StartStream(std::move(head));
    for (int i = completion.resume_after + 1; i <= completion.max_tokens; ++i) {
      if (m_faults.truncate_after > 0 && i > m_faults.truncate_after) {
        response.Abort();
        co_return;
      }
      co_await Sleep(m_options.step_time);
      if (i == m_faults.skip_at) continue;
      const std::string event = Event(completion, i);
      const std::size_t first = i == m_faults.split_at ? event.size() / 2 : event.size();
      co_await response.SendPiece(std::string_view(event).substr(0, first));
      if (first < event.size()) {
        co_await Sleep(m_options.step_time);
        co_await response.SendPiece(std::string_view(event).substr(first));
      }
      if (i == m_faults.duplicate_at) {
        co_await response.SendPiece(event);
      }
    }
    co_await response.SendPiece("data: [DONE]\n\n");
    co_await response.FinishStream();
  }

  std::string Event(const Completion& completion, int position) const {
    const std::string id =
        position == m_faults.foreign_id_at ? "another-request" : completion.attempt_id;
    return "id: " + std::to_string(position) + "\ndata: " +
           internal::ChunkJson(id, completion.model, internal::TokenAt(completion.prompt, position),
                               position == completion.max_tokens) +
           "\n\n";
  }

  asio::awaitable<void> Sleep(std::chrono::microseconds base) {
    const double growth = 1.0 + kStepGrowthPerRequest * static_cast<double>(m_slots.running());
    const auto scaled = std::chrono::microseconds(static_cast<std::int64_t>(
        static_cast<double>(base.count()) * growth * m_faults.slow_factor));
    asio::steady_timer timer(m_context, scaled);
    co_await timer.async_wait(asio::use_awaitable);
  }

  asio::io_context& m_context;
  EngineOptions m_options;
  EngineFaults m_faults;
  internal::BatchSlots m_slots;
  internal::PrefixCache m_cache;
  internal::LaggingLoad m_load;
  std::map<std::string, int> m_runs;
  std::uint64_t m_highest_fence = 0;
  nlohmann::json m_orders = nlohmann::json::array();
  net::HttpServer m_server;
};

FakeEngine::FakeEngine(asio::io_context& context, EngineOptions options)
    : m_impl(std::make_shared<Impl>(context, std::move(options))) {}

FakeEngine::~FakeEngine() = default;

void FakeEngine::Start() { m_impl->Start(); }

}  // namespace cornelrelay::fakes
