#include "cornelrelay/profile/catalogue.h"

#include <algorithm>
#include <utility>

#include "cornelrelay/profile/malformed_catalogue.h"
#include "cornelrelay/profile/profile_check.h"

namespace cornelrelay::profile {
namespace {

void Require(bool condition, const char* reason) {
  if (!condition) throw MalformedCatalogue(reason);
}

}  // namespace

Catalogue Catalogue::Initial() {
  CatalogueContent content;
  content.default_profile = core::ProfileName("default");
  Profile profile;
  profile.name = content.default_profile;
  content.profiles.emplace(profile.name, profile);
  return Catalogue(std::move(content));
}

Catalogue::Catalogue(CatalogueContent content) : m_content(std::move(content)) {
  const CatalogueContent& c = m_content;
  Require(c.profiles.contains(c.default_profile), "the default profile does not exist");
  Require(c.profiles.size() <= kMaxProfiles, "too many profiles");
  Require(c.services.size() <= kMaxServices, "too many services");
  for (const auto& [name, profile] : c.profiles) {
    Require(profile.name == name, "a profile stands under another name");
    Require(CheckProfile(profile).empty(), "a profile has values out of range");
  }
  for (const auto& [service, name] : c.services) {
    Require(c.profiles.contains(name), "a service has a profile that does not exist");
  }
  Require(c.history.size() <= std::min<CatalogueRevision>(kHistoryLimit, c.revision),
          "the history is too long");
  for (std::size_t i = 0; i < c.history.size(); ++i) {
    Require(c.history[i].revision == c.revision - (c.history.size() - 1 - i),
            "the history has a gap");
  }
  Require(c.change_ids.size() == std::min<CatalogueRevision>(kChangeIdLimit, c.revision),
          "change ids are missing");
}

const Profile& Catalogue::ProfileOf(const core::ServiceId& service) const {
  const auto assigned = m_content.services.find(service);
  return m_content.profiles.at(assigned == m_content.services.end() ? m_content.default_profile
                                                                    : assigned->second);
}

const Profile* Catalogue::Find(const core::ProfileName& name) const {
  const auto found = m_content.profiles.find(name);
  return found == m_content.profiles.end() ? nullptr : &found->second;
}

std::vector<core::ServiceId> Catalogue::ServicesUnder(const core::ProfileName& name) const {
  std::vector<core::ServiceId> services;
  for (const auto& [service, profile] : m_content.services) {
    if (profile == name) services.push_back(service);
  }
  return services;
}

bool Catalogue::Contains(const ChangeId& id) const { return RevisionOf(id) != 0; }

CatalogueRevision Catalogue::RevisionOf(const ChangeId& id) const {
  const auto& ids = m_content.change_ids;
  const auto found = std::find(ids.begin(), ids.end(), id);
  if (found == ids.end()) return 0;
  return m_content.revision - static_cast<CatalogueRevision>(ids.end() - found - 1);
}

std::vector<AppliedChange> Catalogue::ChangesAfter(CatalogueRevision revision) const {
  std::vector<AppliedChange> changes;
  for (const AppliedChange& change : m_content.history) {
    if (change.revision > revision) changes.push_back(change);
  }
  return changes;
}

}  // namespace cornelrelay::profile
