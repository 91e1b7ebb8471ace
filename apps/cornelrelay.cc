#include <CLI/CLI.hpp>
#include <iostream>

#include "cornelrelay/core/error.h"
#include "cornelrelay/entry/commands.h"
#include "cornelrelay/platform/relay_command.h"
#include "cornelrelay/profile/invalid_profile_document.h"
#include "cornelrelay/settings/invalid_settings.h"

int main(int argc, char** argv) {
  namespace entry = cornelrelay::entry;
  CLI::App app("Load balancer for expert-parallel model groups");
  app.require_subcommand(1);
  int exit_code = 0;
  entry::AddServeCommand(app, exit_code);
  cornelrelay::platform::AddRelayCommand(app);
  entry::AddCheckCommand(app, exit_code);
  entry::AddProfileCommands(app, exit_code);
  entry::AddInspectCommands(app, exit_code);
  try {
    app.parse(argc, argv);
  } catch (const CLI::ParseError& error) {
    return app.exit(error);
  } catch (const cornelrelay::settings::InvalidSettings& error) {
    std::cerr << cornelrelay::settings::FormatFaults(error.faults());
    return entry::kExitInvalidInput;
  } catch (const cornelrelay::profile::InvalidProfileDocument& error) {
    std::cerr << error.what() << '\n';
    return entry::kExitInvalidInput;
  } catch (const cornelrelay::core::Error& error) {
    std::cerr << error.code() << ": " << error.what() << '\n';
    return entry::kExitFailure;
  }
  return exit_code;
}
