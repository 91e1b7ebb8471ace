#include "cornelrelay/profile/profile_diff.h"

#include "cornelrelay/profile/profile_fields.h"
#include "field_text.h"

namespace cornelrelay::profile {

std::vector<std::pair<std::string, std::string>> FieldTexts(const Profile& profile) {
  std::vector<std::pair<std::string, std::string>> texts;
  texts.emplace_back("name", profile.name.value());
  VisitFields(profile, [&](const Field& field, const auto& value) {
    texts.emplace_back(internal::NameOf(field), internal::FieldText(value));
  });
  return texts;
}

ProfileDiff::ProfileDiff(const std::optional<Profile>& before,
                         const std::optional<Profile>& after) {
  const auto old_texts = before ? FieldTexts(*before) : decltype(FieldTexts(*before)){};
  const auto new_texts = after ? FieldTexts(*after) : decltype(FieldTexts(*after)){};
  const auto count = std::max(old_texts.size(), new_texts.size());
  for (std::size_t i = 0; i < count; ++i) {
    const auto& name = before ? old_texts[i].first : new_texts[i].first;
    if (!before) {
      m_lines.push_back(name + ": " + new_texts[i].second + " (new)");
    } else if (!after) {
      m_lines.push_back(name + ": " + old_texts[i].second + " (removed)");
    } else if (old_texts[i].second != new_texts[i].second) {
      m_lines.push_back(name + ": " + old_texts[i].second + " -> " + new_texts[i].second);
    }
  }
}

}  // namespace cornelrelay::profile
