#include <CLI/CLI.hpp>
#include <fstream>
#include <iostream>
#include <iterator>
#include <memory>
#include <string>
#include <vector>

#include "cornelrelay/entry/commands.h"
#include "cornelrelay/profile/invalid_profile_document.h"
#include "cornelrelay/profile/profile_document.h"
#include "cornelrelay/settings/agent_settings.h"
#include "cornelrelay/settings/entry_settings.h"
#include "cornelrelay/settings/invalid_settings.h"
#include "read_file.h"

namespace cornelrelay::entry {
namespace {

// Each file is checked even when an earlier one has faults, so that one run shows all of them.
int CheckProfiles(const std::vector<std::string>& files) {
  int result = 0;
  for (const auto& file : files) {
    try {
      const profile::ProfileDocument document(internal::ReadFile(file), file);
      std::cout << file << ": profile " << document.profile().name << " is valid\n";
    } catch (const profile::InvalidProfileDocument& error) {
      std::cerr << error.what() << '\n';
      result = kExitInvalidInput;
    }
  }
  return result;
}

int CheckSettings(const std::string& file, bool agent) {
  if (agent) {
    settings::LoadAgentSettings(file);
  } else {
    settings::LoadEntrySettings(file);
  }
  std::cout << file << ": settings are valid\n";
  return 0;
}

}  // namespace

void AddCheckCommand(CLI::App& app, int& exit_code) {
  auto* check = app.add_subcommand("check", "check files offline");
  check->require_subcommand(1);
  const auto files = std::make_shared<std::vector<std::string>>();
  auto* profiles = check->add_subcommand("profile", "check profile documents");
  profiles->add_option("files", *files)->required();
  profiles->callback([files, &exit_code] { exit_code = CheckProfiles(*files); });
  const auto file = std::make_shared<std::string>();
  const auto agent = std::make_shared<bool>(false);
  auto* settings = check->add_subcommand("settings", "check a settings file");
  settings->add_option("file", *file)->required();
  settings->add_flag("--agent", *agent, "settings of cornelrelay-agent");
  settings->callback([file, agent, &exit_code] { exit_code = CheckSettings(*file, *agent); });
}

}  // namespace cornelrelay::entry
