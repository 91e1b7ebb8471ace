#include "cornelrelay/profile/apply_change.h"

#include <utility>

#include "cornelrelay/core/overloaded.h"
#include "cornelrelay/profile/catalogue_codec.h"
#include "cornelrelay/profile/change_rejected.h"
#include "cornelrelay/profile/profile_check.h"

namespace cornelrelay::profile {
namespace {

constexpr std::size_t kMaxIdBytes = 64;
constexpr std::size_t kMaxAuthorBytes = 128;

void CheckValues(const Profile& profile) {
  const auto faults = CheckProfile(profile);
  if (!faults.empty()) {
    throw InvalidEdit(faults.front().fields.front() + ": " + faults.front().message);
  }
}

void CheckText(const std::string& text, std::size_t limit, const char* what) {
  bool printable = !text.empty() && text.size() <= limit;
  // JSON needs valid UTF-8, and operators' terminals need no control characters.
  for (const char c : text) printable = printable && c >= ' ' && c < 0x7f;
  if (!printable) throw InvalidEdit(std::string(what) + " must be short printable ASCII");
}

class Editing {
 public:
  Editing(CatalogueContent& content, AppliedChange& change)
      : m_content(content), m_change(change) {}

  void operator()(const CreateProfile& edit) {
    m_change.subject = edit.profile.name.value();
    m_change.profile_after = edit.profile;
    if (!m_content.profiles.emplace(edit.profile.name, edit.profile).second) {
      throw ProfileExists(edit.profile.name);
    }
    if (m_content.profiles.size() > Catalogue::kMaxProfiles) throw CatalogueTooLarge();
  }
  void operator()(const ChangeProfile& edit) {
    m_change.subject = edit.profile.name.value();
    Profile& profile = Existing(edit.profile.name);
    m_change.profile_before = std::exchange(profile, edit.profile);
    m_change.profile_after = edit.profile;
  }
  void operator()(const RetireProfile& edit) {
    m_change.subject = edit.name.value();
    m_change.profile_before = Existing(edit.name);
    if (edit.name == m_content.default_profile) throw DefaultProfileInUse(edit.name);
    std::vector<core::ServiceId> services;
    for (const auto& [service, name] : m_content.services) {
      if (name == edit.name) services.push_back(service);
    }
    if (!services.empty() && !edit.force) throw ProfileInUse(edit.name, std::move(services));
    for (const auto& service : services) m_content.services.erase(service);
    m_content.profiles.erase(edit.name);
    m_change.moved_services = std::move(services);
  }
  void operator()(const AssignService& edit) {
    m_change.subject = edit.service.value();
    m_change.name_after = edit.profile;
    const auto assigned = m_content.services.find(edit.service);
    if (assigned != m_content.services.end()) m_change.name_before = assigned->second;
    if (!edit.profile) {
      m_content.services.erase(edit.service);
      return;
    }
    Existing(*edit.profile);
    m_content.services.insert_or_assign(edit.service, *edit.profile);
    if (m_content.services.size() > Catalogue::kMaxServices) throw CatalogueTooLarge();
  }
  void operator()(const SetDefaultProfile& edit) {
    m_change.subject = edit.name.value();
    Existing(edit.name);
    m_change.name_before = std::exchange(m_content.default_profile, edit.name);
    m_change.name_after = edit.name;
  }

 private:
  Profile& Existing(const core::ProfileName& name) {
    const auto found = m_content.profiles.find(name);
    if (found == m_content.profiles.end()) throw UnknownProfile(name);
    return found->second;
  }

  CatalogueContent& m_content;
  AppliedChange& m_change;
};

}  // namespace

void CheckRequest(const ChangeRequest& request) {
  CheckText(request.id.value(), kMaxIdBytes, "change id");
  CheckText(request.author.value(), kMaxAuthorBytes, "operator name");
  if (request.sent_again && !request.seen) {
    throw InvalidEdit("a change that is sent again must name the revision that was seen");
  }
  std::visit(
      core::Overloaded{[](const CreateProfile& e) { CheckValues(e.profile); },
                       [](const ChangeProfile& e) { CheckValues(e.profile); },
                       [](const AssignService& e) {
                         if (!IsValidName(e.service.value())) {
                           throw InvalidEdit(
                               "service: expected 1 to 64 characters from A-Z a-z 0-9 . _ -");
                         }
                       },
                       [](const auto&) {}},
      request.edit);
}

Catalogue ApplyChange(const Catalogue& catalogue, const ChangeRequest& request) {
  CheckRequest(request);
  CatalogueContent content = catalogue.content();
  AppliedChange change;
  std::visit(Editing(content, change), request.edit);
  ++content.revision;
  change.revision = content.revision;
  change.id = request.id;
  change.author = request.author;
  change.unix_ms = request.unix_ms;
  change.kind = std::string(KindName(request.edit));
  content.history.push_back(std::move(change));
  if (content.history.size() > Catalogue::kHistoryLimit) {
    content.history.erase(content.history.begin());
  }
  content.change_ids.push_back(request.id);
  if (content.change_ids.size() > Catalogue::kChangeIdLimit) {
    content.change_ids.erase(content.change_ids.begin());
  }
  for (;;) {
    Catalogue changed(content);
    if (EncodeCatalogue(changed).size() <= Catalogue::kMaxBytes) return changed;
    if (content.history.size() <= 1) throw CatalogueTooLarge();
    content.history.erase(content.history.begin());
  }
}

}  // namespace cornelrelay::profile
