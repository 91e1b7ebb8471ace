#include "cornelrelay/profile/dump.h"

#include <nlohmann/json.hpp>

#include "cornelrelay/profile/profile_fields.h"
#include "field_text.h"

namespace cornelrelay::profile {
namespace {

using nlohmann::json;

json Value(core::Duration value) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(value).count();
}
json Value(Priority value) { return std::string(ToString(value)); }
json Value(bool value) { return value; }
json Value(std::uint32_t value) { return value; }
json Value(double value) { return value; }
json Value(const std::vector<CallPattern>& value) {
  json list = json::array();
  for (const CallPattern& pattern : value) list.push_back(ToString(pattern));
  return list;
}

template <class T, class Convert>
void PutOptional(json& out, const char* key, const std::optional<T>& value, Convert convert) {
  if (value) out[key] = convert(*value);
}

json NameValue(const core::ProfileName& name) { return name.value(); }

}  // namespace

json ToJson(const Profile& profile) {
  json out = {{"name", profile.name.value()}};
  VisitFields(profile, [&](const Field& field, const auto& value) {
    out[internal::NameOf(field)] = Value(value);
  });
  return out;
}

json ToJson(const AppliedChange& change) {
  json out = {
      {"revision", change.revision}, {"id", change.id.value()}, {"operator", change.author.value()},
      {"unix_ms", change.unix_ms},   {"kind", change.kind},     {"subject", change.subject}};
  const auto profile = [](const Profile& p) { return ToJson(p); };
  PutOptional(out, "profile_before", change.profile_before, profile);
  PutOptional(out, "profile_after", change.profile_after, profile);
  PutOptional(out, "name_before", change.name_before, NameValue);
  PutOptional(out, "name_after", change.name_after, NameValue);
  for (const auto& service : change.moved_services) out["moved"].push_back(service.value());
  return out;
}

json ToJson(const Catalogue& catalogue) {
  const CatalogueContent& content = catalogue.content();
  json out = {{"revision", content.revision}, {"default", content.default_profile.value()}};
  for (const auto& [name, profile] : content.profiles) {
    out["profiles"][name.value()] = ToJson(profile);
  }
  for (const auto& [service, name] : content.services) {
    out["services"][service.value()] = name.value();
  }
  if (!content.history.empty()) out["last_change"] = ToJson(content.history.back());
  return out;
}

json ToJson(const CatalogueEditor& editor) {
  return {{"state", ToString(editor.state())},
          {"change_id", editor.request().id.value()},
          {"kind", KindName(editor.request().edit)},
          {"unsettled", editor.Unsettled()}};
}

json ToJson(const CatalogueReplica& replica) {
  json out = {{"watching", replica.Watching()},
              {"store_failing", replica.StoreFailing()},
              {"known_peers", replica.KnownPeers()},
              {"malformed", replica.MalformedSeen()},
              {"next_read_us", replica.NextRead().time_since_epoch().count()}};
  out["catalogue"] = replica.catalogue() ? ToJson(*replica.catalogue()) : json();
  return out;
}

json ToJson(const ConfirmationTracker& tracker) {
  json out = json::object();
  for (const auto& [member, applied] : tracker.members()) {
    out[member.value()] = applied ? json(*applied) : json();
  }
  return out;
}

}  // namespace cornelrelay::profile
