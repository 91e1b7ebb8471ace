#include <CLI/CLI.hpp>
#include <chrono>
#include <cstdint>
#include <iostream>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <thread>

#include "admin_client.h"
#include "cornelrelay/entry/commands.h"
#include "cornelrelay/profile/profile_document.h"
#include "read_file.h"

namespace cornelrelay::entry {
namespace {

using internal::AdminAccess;
using internal::CallAdmin;
using nlohmann::json;

constexpr std::chrono::milliseconds kConfirmPoll{200};
/// A change must be in force everywhere within this time.
constexpr std::chrono::seconds kConfirmLimit{16};

/// Options that all changing commands share.
struct EditOptions {
  std::shared_ptr<AdminAccess> access;
  std::int64_t seen = -1;  ///< catalogue revision that the operator looked at; -1 = the current one
  bool wait = false;
};

std::shared_ptr<EditOptions> AddEditOptions(CLI::App& command) {
  auto options = std::make_shared<EditOptions>();
  options->access = internal::AddAccessOptions(command);
  command.add_option("--seen", options->seen,
                     "refuse if the catalogue is newer than this revision");
  command.add_flag("--wait", options->wait, "return when every live entry process has confirmed");
  return options;
}

int WaitForConfirmation(const AdminAccess& access, std::uint64_t revision) {
  const auto limit = std::chrono::steady_clock::now() + kConfirmLimit;
  const std::string target = "/confirmations?revision=" + std::to_string(revision);
  // A stopped process is removed from the members before the limit and may serve again with its old
  // profiles, so a process counts until it has confirmed or has left by itself.
  std::set<std::string> pending;
  while (true) {
    const auto answer = CallAdmin(access, "GET", target);
    if (answer.status != 200) return internal::PrintError(answer);
    for (const json& name : answer.body.at("unconfirmed")) pending.insert(name.get<std::string>());
    for (const json& name : answer.body.at("confirmed")) pending.erase(name.get<std::string>());
    for (const json& name : answer.body.at("left")) pending.erase(name.get<std::string>());
    if (pending.empty()) {
      std::cout << "confirmed by " << answer.body.at("confirmed").size() << " entry processes\n";
      return 0;
    }
    if (std::chrono::steady_clock::now() >= limit) {
      std::cerr << "not confirmed by " << json(pending).dump() << '\n';
      return kExitUnconfirmed;
    }
    std::this_thread::sleep_for(kConfirmPoll);
  }
}

int Apply(const EditOptions& options, const json& edit) {
  json body{{"edit", edit}};
  if (options.seen >= 0) body["seen"] = options.seen;
  if (!options.access->author.empty()) body["author"] = options.access->author;
  const auto answer = CallAdmin(*options.access, "POST", "/edits", body.dump());
  if (answer.status != 200) return internal::PrintError(answer);
  const auto revision = answer.body.at("revision").get<std::uint64_t>();
  std::cout << "accepted as revision " << revision << '\n';
  return options.wait ? WaitForConfirmation(*options.access, revision) : 0;
}

void AddDocumentCommand(CLI::App& profile, int& exit_code, const std::string& kind,
                        const std::string& help) {
  auto* command = profile.add_subcommand(kind, help);
  const auto options = AddEditOptions(*command);
  const auto file = std::make_shared<std::string>();
  command->add_option("file", *file, "profile document in TOML")->required();
  command->callback([options, file, kind, &exit_code] {
    const std::string text = internal::ReadFile(*file);
    // Faults are shown with their place before anything is sent.
    const profile::ProfileDocument document(text, *file);
    exit_code = Apply(*options, {{"kind", kind}, {"document", text}, {"source", *file}});
  });
}

json CatalogueOf(const AdminAccess& access, int& exit_code) {
  const auto answer = CallAdmin(access, "GET", "/catalogue");
  if (answer.status != 200) {
    exit_code = internal::PrintError(answer);
    return json();
  }
  return answer.body;
}

void AddList(CLI::App& profile, int& exit_code) {
  auto* command =
      profile.add_subcommand("list", "names of all profiles and the services under them");
  const auto access = internal::AddAccessOptions(*command);
  command->callback([access, &exit_code] {
    const json catalogue = CatalogueOf(*access, exit_code);
    if (catalogue.is_null()) return;
    std::cout << "revision " << catalogue.at("revision") << ", default " << catalogue.at("default")
              << '\n';
    for (const auto& [name, fields] : catalogue.at("profiles").items()) std::cout << name << '\n';
    const json services = catalogue.value("services", json::object());
    for (const auto& [service, name] : services.items()) {
      std::cout << "  " << service << " -> " << name << '\n';
    }
  });
}

void AddShow(CLI::App& profile, int& exit_code) {
  auto* command = profile.add_subcommand("show", "fields of one profile");
  const auto access = internal::AddAccessOptions(*command);
  const auto name = std::make_shared<std::string>();
  command->add_option("name", *name)->required();
  command->callback([access, name, &exit_code] {
    const json catalogue = CatalogueOf(*access, exit_code);
    if (catalogue.is_null()) return;
    if (!catalogue.at("profiles").contains(*name)) {
      std::cerr << "there is no profile " << *name << '\n';
      exit_code = kExitFailure;
      return;
    }
    std::cout << catalogue.at("profiles").at(*name).dump(2) << '\n';
  });
}

void AddHistory(CLI::App& profile, int& exit_code, const std::string& name, const std::string& help,
                bool newest_only) {
  auto* command = profile.add_subcommand(name, help);
  const auto access = internal::AddAccessOptions(*command);
  const auto revision = std::make_shared<std::int64_t>(-1);
  if (newest_only) command->add_option("revision", *revision, "default: the newest change");
  command->callback([access, revision, newest_only, &exit_code] {
    const json catalogue = CatalogueOf(*access, exit_code);
    if (catalogue.is_null()) return;
    const json& history = catalogue.at("history");
    for (const auto& change : history) {
      const bool asked = *revision < 0 ? change == history.back()
                                       : change.at("revision").get<std::int64_t>() == *revision;
      if (!newest_only || asked) std::cout << change.dump(newest_only ? 2 : -1) << '\n';
    }
  });
}

}  // namespace

void AddProfileCommands(CLI::App& app, int& exit_code) {
  auto* profile = app.add_subcommand("profile", "read and change profiles");
  profile->require_subcommand(1);
  AddDocumentCommand(*profile, exit_code, "create", "create a profile");
  AddDocumentCommand(*profile, exit_code, "change", "replace the profile of the same name");

  auto* retire = profile->add_subcommand("retire", "remove a profile");
  const auto retire_options = AddEditOptions(*retire);
  const auto name = std::make_shared<std::string>();
  const auto force = std::make_shared<bool>(false);
  retire->add_option("name", *name)->required();
  retire->add_flag("--force", *force, "its services fall to the default profile");
  retire->callback([retire_options, name, force, &exit_code] {
    exit_code = Apply(*retire_options, {{"kind", "retire"}, {"name", *name}, {"force", *force}});
  });

  auto* assign = profile->add_subcommand("assign", "put a service under a profile");
  const auto assign_options = AddEditOptions(*assign);
  const auto service = std::make_shared<std::string>();
  const auto target = std::make_shared<std::string>();
  assign->add_option("service", *service)->required();
  assign->add_option("profile", *target)->required();
  assign->callback([assign_options, service, target, &exit_code] {
    exit_code =
        Apply(*assign_options, {{"kind", "assign"}, {"service", *service}, {"profile", *target}});
  });

  AddList(*profile, exit_code);
  AddShow(*profile, exit_code);
  AddHistory(*profile, exit_code, "history", "all recorded changes, oldest first", false);
  AddHistory(*profile, exit_code, "diff", "one change with the profile before and after", true);
}

}  // namespace cornelrelay::entry
