#include "cornelrelay/profile/profile_check.h"

#include <algorithm>
#include <cmath>

#include "cornelrelay/profile/profile_fields.h"
#include "field_text.h"

namespace cornelrelay::profile {
namespace {

// 32 patterns of 128 bytes keep 128 profiles in the history far below the store's 1 MB.
constexpr std::size_t kMaxPatterns = 32;
constexpr std::size_t kMaxPatternBytes = 128;

class RangeCheck {
 public:
  explicit RangeCheck(std::vector<FieldFault>& faults) : m_faults(faults) {}

  void operator()(const Field& field, core::Duration value) const {
    if (value % std::chrono::milliseconds(1) != core::Duration::zero()) {
      Add(field, "must be a whole number of milliseconds");
    }
    CheckNumber(field, std::chrono::duration<double, std::milli>(value).count());
  }
  void operator()(const Field& field, std::uint32_t value) const { CheckNumber(field, value); }
  void operator()(const Field& field, double value) const { CheckNumber(field, value); }
  void operator()(const Field&, Priority) const {}
  void operator()(const Field&, bool) const {}
  void operator()(const Field& field, const std::vector<CallPattern>& patterns) const {
    if (patterns.size() > kMaxPatterns) {
      Add(field, "at most " + std::to_string(kMaxPatterns) + " patterns are permitted");
    }
    for (const CallPattern& pattern : patterns) {
      const std::string text = ToString(pattern);
      if (text.size() > kMaxPatternBytes || text.find('\'') != std::string::npos ||
          ParseCallPattern(text) != pattern) {
        Add(field, "not of the form 'METHOD /path' without quotes and with at most " +
                       std::to_string(kMaxPatternBytes) + " bytes");
      }
    }
  }

 private:
  void CheckNumber(const Field& field, double value) const {
    if (value >= field.min && value <= field.max) return;  // false for NaN
    Add(field, "must be between " + internal::NumberText(field.min) + " and " +
                   internal::NumberText(field.max));
  }
  void Add(const Field& field, const std::string& message) const {
    m_faults.push_back({{internal::NameOf(field)}, message});
  }

  std::vector<FieldFault>& m_faults;
};

}  // namespace

bool IsValidName(std::string_view name) {
  const auto permitted = [](char c) {
    return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9') || c == '.' ||
           c == '_' || c == '-';
  };
  return !name.empty() && name.size() <= 64 && std::all_of(name.begin(), name.end(), permitted);
}

std::vector<FieldFault> CheckProfile(const Profile& profile) {
  std::vector<FieldFault> faults;
  if (!IsValidName(profile.name.value())) {
    faults.push_back({{"name"}, "expected 1 to 64 characters from A-Z a-z 0-9 . _ -"});
  }
  VisitFields(profile, RangeCheck(faults));
  if (profile.retry.hedges >= profile.retry.attempts) {
    faults.push_back({{"retry.hedges", "retry.attempts"},
                      "must be less than retry.attempts, because a hedge is an attempt"});
  }
  const bool any_idempotent =
      profile.request.all_idempotent || !profile.request.idempotent_calls.empty();
  if (profile.retry.hedges > 0 && !any_idempotent) {
    faults.push_back({{"retry.hedges", "request.all_idempotent", "request.idempotent_calls"},
                      "must be 0 when no call is idempotent, because a hedge runs a call twice"});
  }
  return faults;
}

}  // namespace cornelrelay::profile
