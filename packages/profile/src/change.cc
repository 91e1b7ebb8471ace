#include "cornelrelay/profile/change.h"

#include <array>

#include "cornelrelay/profile/profile_diff.h"

namespace cornelrelay::profile {
namespace {

std::string NameText(const std::optional<core::ProfileName>& name) {
  return name ? name->value() : "(default)";
}

}  // namespace

std::string_view KindName(const Edit& edit) {
  constexpr std::array<std::string_view, std::variant_size_v<Edit>> kNames = {
      "create", "change", "retire", "assign", "set_default"};
  return kNames.at(edit.index());
}

std::vector<std::string> Describe(const AppliedChange& change) {
  std::vector<std::string> lines = {"revision " + std::to_string(change.revision) + " by " +
                                    change.author.value() + ": " + change.kind + " " +
                                    change.subject};
  if (change.name_before || change.name_after) {
    lines.push_back("  profile: " + NameText(change.name_before) + " -> " +
                    NameText(change.name_after));
  }
  if (change.profile_before || change.profile_after) {
    for (const auto& line : ProfileDiff(change.profile_before, change.profile_after).Lines()) {
      lines.push_back("  " + line);
    }
  }
  for (const auto& service : change.moved_services) {
    lines.push_back("  service " + service.value() + " runs under the default profile");
  }
  return lines;
}

}  // namespace cornelrelay::profile
