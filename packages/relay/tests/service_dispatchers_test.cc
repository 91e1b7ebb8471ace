#include "cornelrelay/relay/service_dispatchers.h"

#include <spdlog/sinks/null_sink.h>

#include <catch2/catch.hpp>
#include <memory>
#include <optional>
#include <string>
#include <utility>

#include "cornelrelay/core/overloaded.h"

namespace cornelrelay::relay {
namespace {

const core::ServiceId kService("llm");

routes::Configuration WithPrompts(double usual_tokens) {
  routes::Configuration configuration;
  routes::ServiceSpec service;
  service.id = kService;
  service.engine.emplace();
  service.engine->slots = 8;
  service.engine->mean_prompt_tokens = usual_tokens;
  configuration.services[kService] = service;
  return configuration;
}

/// \brief ServiceDispatchers with two upstreams that have free slots for all requests of a test.
class TestDispatchers {
 public:
  TestDispatchers() {
    directory::EntriesChanged entries;
    for (const char* name : {"a", "b"}) {
      directory::UpstreamEntry entry;
      entry.id = core::UpstreamId(name);
      entry.service = kService;
      entry.slots = 8;
      entries.changes.push_back({entry.id, entry});
    }
    m_directory.Step(m_clock.Now(), entries);
  }

  void Configure(const routes::Configuration& configuration) {
    m_dispatchers.SetConfiguration(configuration);
    m_dispatchers.SetUpstreams(m_directory);
  }

  std::optional<core::UpstreamId> Assign(const std::string& name, double prompt_tokens) {
    dispatch::RequestArrived arrival;
    arrival.request = core::RequestId(name);
    arrival.target_latency = std::chrono::seconds(1);
    arrival.prompt_tokens = prompt_tokens;
    std::optional<core::UpstreamId> upstream;
    m_dispatchers.Submit(kService, arrival, [&](const ServiceDispatchers::Decision& decision) {
      if (const auto* assigned = std::get_if<dispatch::Assigned>(&decision)) {
        upstream = assigned->upstream;
      }
    });
    return upstream;
  }

 private:
  boost::asio::io_context m_context;
  runtime::ProcessClock m_clock;
  telemetry::JsonLog m_log{"test", telemetry::LogLevel::kError,
                           std::make_shared<spdlog::sinks::null_sink_mt>()};
  telemetry::MetricRegistry m_metrics;
  ServiceDispatchers m_dispatchers{m_context, m_clock, m_log, m_metrics, core::HostId("self"),
                                   1,         [] {}};
  directory::UpstreamDirectory m_directory{directory::DirectoryConfig{}};
};

}  // namespace

// Guards against a dispatcher that keeps the prompt weight of its first configuration. It would
// then count a prompt that is long for the new configuration as almost no load.
TEST_CASE("a new configuration changes how much a prompt counts as load") {
  TestDispatchers dispatchers;
  dispatchers.Configure(WithPrompts(100'000));
  dispatchers.Configure(WithPrompts(100));
  const auto first = dispatchers.Assign("1", 400);
  REQUIRE(first);
  // The prompt of the first request counts as much as four generating requests.
  for (const char* name : {"2", "3", "4"}) {
    const auto next = dispatchers.Assign(name, 0);
    REQUIRE(next);
    CHECK(*next != *first);
  }
}

TEST_CASE("a request for a service that the configuration does not name is rejected") {
  TestDispatchers dispatchers;
  CHECK_FALSE(dispatchers.Assign("1", 0));
}

}  // namespace cornelrelay::relay
