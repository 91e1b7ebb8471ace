#include "cornelrelay/relay/dispatch_hub.h"

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

/// \brief A hub with two upstreams that have room for all requests of a test.
class Hub {
 public:
  Hub() {
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
    m_hub.SetConfiguration(configuration);
    m_hub.SetUpstreams(m_directory);
  }

  std::optional<core::UpstreamId> Place(const std::string& name, double prompt_tokens) {
    dispatch::RequestArrived arrival;
    arrival.request = core::RequestId(name);
    arrival.target_latency = std::chrono::seconds(1);
    arrival.prompt_tokens = prompt_tokens;
    std::optional<core::UpstreamId> upstream;
    m_hub.Arrive(kService, arrival, [&](const DispatchHub::Decision& decision) {
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
  DispatchHub m_hub{m_context, m_clock, m_log, m_metrics, 1, [] {}};
  directory::UpstreamDirectory m_directory{directory::DirectoryConfig{}};
};

}  // namespace

TEST_CASE("a configuration with other prompts changes the weight of a prompt") {
  Hub hub;
  hub.Configure(WithPrompts(100'000));
  hub.Configure(WithPrompts(100));
  const auto first = hub.Place("1", 400);
  REQUIRE(first);
  // The prompt of the first one weighs as much as four requests that generate.
  for (const char* name : {"2", "3", "4"}) {
    const auto next = hub.Place(name, 0);
    REQUIRE(next);
    CHECK(*next != *first);
  }
}

TEST_CASE("a service that the configuration does not name has no upstream") {
  Hub hub;
  CHECK_FALSE(hub.Place("1", 0));
}

}  // namespace cornelrelay::relay
