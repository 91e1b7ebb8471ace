#include <spdlog/sinks/stdout_sinks.h>

#include <CLI/CLI.hpp>
#include <boost/scope_exit.hpp>
#include <csignal>
#include <memory>
#include <string>

#include "cornelrelay/entry/commands.h"
#include "cornelrelay/entry/entry_process.h"
#include "cornelrelay/runtime/event_loop.h"
#include "cornelrelay/runtime/process_setup.h"
#include "cornelrelay/runtime/signal_loop.h"
#include "cornelrelay/settings/entry_settings.h"

namespace cornelrelay::entry {
namespace {

int Serve(const std::string& file) {
  const settings::EntrySettings settings = settings::LoadEntrySettings(file);
  telemetry::JsonLog log(settings.common.host.value(), settings.common.log_level,
                         std::make_shared<spdlog::sinks::stderr_sink_mt>());
  runtime::EventLoop loop(log);
  EntryProcess process(loop, settings, log, runtime::SeedOf(settings.common.seed));
  // The coroutines of requests in progress refer to the process.
  BOOST_SCOPE_EXIT_ALL(&loop) { loop.DiscardHandlers(); };
  process.Start();
  const runtime::SignalLoop signals(loop, {SIGTERM, SIGINT}, [&](int) { process.Shutdown(); });
  loop.Run();
  log.Flush();
  return 0;
}

}  // namespace

void AddServeCommand(CLI::App& app, int& exit_code) {
  auto* command = app.add_subcommand("serve", "run the entry process");
  const auto file = std::make_shared<std::string>();
  command->add_option("--settings", *file, "TOML settings file")->required();
  command->callback([file, &exit_code] { exit_code = Serve(*file); });
}

}  // namespace cornelrelay::entry
