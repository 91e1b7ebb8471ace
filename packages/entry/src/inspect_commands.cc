#include <CLI/CLI.hpp>
#include <iostream>
#include <memory>
#include <string>

#include "admin_client.h"
#include "cornelrelay/entry/commands.h"

namespace cornelrelay::entry {
namespace {

using internal::AdminAccess;
using internal::CallAdmin;

int Show(const AdminAccess& access, const std::string& target) {
  const auto answer = CallAdmin(access, "GET", target);
  if (answer.status != 200) return internal::PrintError(answer);
  std::cout << answer.body.dump(2) << '\n';
  return 0;
}

int SetLogLevel(const AdminAccess& access, const std::string& level) {
  const auto answer = CallAdmin(access, "PUT", "/log-level", level);
  return answer.status == 200 ? 0 : internal::PrintError(answer);
}

void AddShow(CLI::App& app, int& exit_code, const std::string& name, const std::string& help,
             const std::string& target) {
  auto* command = app.add_subcommand(name, help);
  const auto access = internal::AddAccessOptions(*command);
  command->callback([access, target, &exit_code] { exit_code = Show(*access, target); });
}

}  // namespace

void AddInspectCommands(CLI::App& app, int& exit_code) {
  AddShow(app, exit_code, "status", "members and revisions as one entry process sees them",
          "/status");
  AddShow(app, exit_code, "dump", "whole state of one entry process", "/dump");
  auto* explain = app.add_subcommand("explain", "why a request went where it went");
  const auto access = internal::AddAccessOptions(*explain);
  const auto request = std::make_shared<std::string>();
  explain->add_option("request", *request, "request id")->required();
  explain->callback(
      [access, request, &exit_code] { exit_code = Show(*access, "/explain/" + *request); });
  auto* level = app.add_subcommand("log-level", "change the log level of one entry process");
  const auto level_access = internal::AddAccessOptions(*level);
  const auto name = std::make_shared<std::string>();
  level->add_option("level", *name, "trace, debug, info, warning or error")->required();
  level->callback(
      [level_access, name, &exit_code] { exit_code = SetLogLevel(*level_access, *name); });
}

}  // namespace cornelrelay::entry
