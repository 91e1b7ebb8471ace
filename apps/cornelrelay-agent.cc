#include <spdlog/sinks/stdout_sinks.h>

#include <CLI/CLI.hpp>
#include <boost/scope_exit.hpp>
#include <csignal>
#include <iostream>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>

#include "cornelrelay/agent/agent_process.h"
#include "cornelrelay/platform/rank_command.h"
#include "cornelrelay/runtime/event_loop.h"
#include "cornelrelay/runtime/process_setup.h"
#include "cornelrelay/runtime/signal_loop.h"
#include "cornelrelay/settings/invalid_settings.h"

namespace {

constexpr int kExitInvalidInput = 2;

int Run(const std::string& file) {
  namespace telemetry = cornelrelay::telemetry;
  const auto settings = cornelrelay::settings::LoadAgentSettings(file);
  telemetry::JsonLog log(settings.common.host.value(), settings.common.log_level,
                         std::make_shared<spdlog::sinks::stderr_sink_mt>());
  cornelrelay::runtime::EventLoop loop(log);
  cornelrelay::agent::AgentProcess process(loop, settings, log,
                                           cornelrelay::runtime::SeedOf(settings.common.seed));
  BOOST_SCOPE_EXIT_ALL(&loop) { loop.DiscardHandlers(); };
  process.Start();
  const cornelrelay::runtime::SignalLoop signals(loop, {SIGTERM, SIGINT, SIGUSR1}, [&](int signal) {
    if (signal == SIGUSR1) {
      std::cout << process.Dump().dump() << std::endl;
    } else {
      process.Shutdown();
    }
  });
  loop.Run();
  log.Flush();
  return 0;
}

}  // namespace

int main(int argc, char** argv) {
  CLI::App app("Agent beside one upstream; SIGUSR1 prints its state, SIGTERM drains the upstream");
  std::string file;
  auto* settings = app.add_option("--settings", file, "TOML settings file");
  try {
    cornelrelay::platform::AddRankCommand(app);
    app.parse(argc, argv);
    if (!app.get_subcommands().empty()) return 0;
    if (settings->count() == 0) throw CLI::RequiredError("--settings");
    return Run(file);
  } catch (const CLI::ParseError& error) {
    return app.exit(error);
  } catch (const cornelrelay::settings::InvalidSettings& error) {
    std::cerr << cornelrelay::settings::FormatFaults(error.faults());
    return kExitInvalidInput;
  } catch (const cornelrelay::core::Error& error) {
    std::cerr << error.code() << ": " << error.what() << '\n';
    return 1;
  }
}
