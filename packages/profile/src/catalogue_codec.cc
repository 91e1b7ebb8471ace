#include "cornelrelay/profile/catalogue_codec.h"

#include <cmath>
#include <limits>
#include <nlohmann/json.hpp>
#include <utility>

#include "cornelrelay/profile/dump.h"
#include "cornelrelay/profile/malformed_catalogue.h"
#include "cornelrelay/profile/profile_fields.h"
#include "field_text.h"

namespace cornelrelay::profile {
namespace {

using nlohmann::json;

constexpr int kFormat = 1;

void Read(const json& in, core::Duration& value) {
  const auto number = in.get<std::int64_t>();
  if (number < 0 || number > (1LL << 40)) throw MalformedCatalogue("a duration is out of range");
  value = std::chrono::milliseconds(number);
}
void Read(const json& in, Priority& value) {
  const auto priority = ParsePriority(in.get_ref<const std::string&>());
  if (!priority) throw MalformedCatalogue("unknown priority");
  value = *priority;
}
void Read(const json& in, bool& value) { value = in.get<bool>(); }
void Read(const json& in, std::uint32_t& value) {
  const auto number = in.get<std::int64_t>();
  if (number < 0 || number > std::numeric_limits<std::uint32_t>::max()) {
    throw MalformedCatalogue("a count is out of range");
  }
  value = static_cast<std::uint32_t>(number);
}
void Read(const json& in, double& value) { value = in.get<double>(); }
void Read(const json& in, std::vector<CallPattern>& value) {
  for (const json& entry : in) {
    const auto pattern = ParseCallPattern(entry.get_ref<const std::string&>());
    if (!pattern) throw MalformedCatalogue("not a call pattern");
    value.push_back(*pattern);
  }
}

Profile ProfileFrom(const json& in) {
  Profile profile;
  profile.name = core::ProfileName(in.at("name").get<std::string>());
  // A field that an older process did not know has its default.
  VisitFields(profile, [&](const Field& field, auto& value) {
    const auto found = in.find(internal::NameOf(field));
    if (found != in.end()) Read(*found, value);
  });
  return profile;
}

template <class Convert>
auto GetOptional(const json& in, const char* key, Convert convert)
    -> std::optional<decltype(convert(in))> {
  const auto found = in.find(key);
  if (found == in.end()) return std::nullopt;
  return convert(*found);
}

core::ProfileName NameFrom(const json& in) { return core::ProfileName(in.get<std::string>()); }

AppliedChange ChangeFrom(const json& in) {
  AppliedChange change;
  change.revision = in.at("revision").get<CatalogueRevision>();
  change.id = ChangeId(in.at("id").get<std::string>());
  change.author = OperatorName(in.at("operator").get<std::string>());
  change.unix_ms = in.at("unix_ms").get<std::int64_t>();
  change.kind = in.at("kind").get<std::string>();
  change.subject = in.at("subject").get<std::string>();
  change.profile_before = GetOptional(in, "profile_before", ProfileFrom);
  change.profile_after = GetOptional(in, "profile_after", ProfileFrom);
  change.name_before = GetOptional(in, "name_before", NameFrom);
  change.name_after = GetOptional(in, "name_after", NameFrom);
  if (const auto moved = in.find("moved"); moved != in.end()) {
    for (const json& service : *moved) {
      change.moved_services.emplace_back(service.get<std::string>());
    }
  }
  return change;
}

CatalogueContent ContentFrom(const json& in) {
  if (in.at("format").get<int>() != kFormat) throw MalformedCatalogue("unknown format");
  CatalogueContent content;
  // JSON readers elsewhere keep integers exact only up to 2^53.
  if (!in.at("revision").is_number_unsigned() || in.at("revision") > (1ULL << 53)) {
    throw MalformedCatalogue("the revision is out of range");
  }
  content.revision = in.at("revision").get<CatalogueRevision>();
  content.default_profile = NameFrom(in.at("default"));
  for (const json& entry : in.at("profiles")) {
    Profile profile = ProfileFrom(entry);
    const core::ProfileName name = profile.name;
    if (!content.profiles.emplace(name, std::move(profile)).second) {
      throw MalformedCatalogue("a profile occurs twice");
    }
  }
  for (const auto& [service, name] : in.at("services").items()) {
    content.services.emplace(core::ServiceId(service), NameFrom(name));
  }
  for (const json& entry : in.at("history")) content.history.push_back(ChangeFrom(entry));
  for (const json& id : in.at("change_ids")) content.change_ids.emplace_back(id.get<std::string>());
  return content;
}

}  // namespace

std::string EncodeCatalogue(const Catalogue& catalogue) {
  const CatalogueContent& content = catalogue.content();
  json out = {{"format", kFormat},
              {"revision", content.revision},
              {"default", content.default_profile.value()},
              {"profiles", json::array()},
              {"services", json::object()},
              {"history", json::array()},
              {"change_ids", json::array()}};
  for (const auto& [name, profile] : content.profiles) out["profiles"].push_back(ToJson(profile));
  for (const auto& [service, name] : content.services) {
    out["services"][service.value()] = name.value();
  }
  for (const auto& change : content.history) out["history"].push_back(ToJson(change));
  for (const auto& id : content.change_ids) out["change_ids"].push_back(id.value());
  return out.dump();
}

Catalogue DecodeCatalogue(std::string_view bytes) {
  if (bytes.size() > Catalogue::kMaxBytes) throw MalformedCatalogue("more than 1 MB");
  try {
    return Catalogue(ContentFrom(json::parse(bytes)));
  } catch (const json::exception& e) {
    throw MalformedCatalogue(e.what());
  }
}

}  // namespace cornelrelay::profile
