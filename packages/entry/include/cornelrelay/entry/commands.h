#pragma once

namespace CLI {  // NOLINT(readability-identifier-naming): the name of the library
class App;
}

namespace cornelrelay::entry {

inline constexpr int kExitFailure = 1;
inline constexpr int kExitInvalidInput = 2;
/// Another operator's change came first.
inline constexpr int kExitConflict = 3;
/// A change was accepted but not every live process has confirmed it in time.
inline constexpr int kExitUnconfirmed = 4;

/// \brief Each function adds subcommands that store their exit code in `exit_code` when they run.
void AddServeCommand(CLI::App& app, int& exit_code);
void AddCheckCommand(CLI::App& app, int& exit_code);
void AddProfileCommands(CLI::App& app, int& exit_code);
void AddInspectCommands(CLI::App& app, int& exit_code);

}  // namespace cornelrelay::entry
