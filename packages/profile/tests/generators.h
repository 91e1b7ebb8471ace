#pragma once

#include <rapidcheck.h>

#include <string>
#include <vector>

#include "cornelrelay/profile/apply_change.h"
#include "cornelrelay/profile/catalogue.h"
#include "cornelrelay/profile/profile.h"

namespace cornelrelay::profile::testing {

inline Profile MakeProfile(const std::string& name, std::uint32_t queue) {
  Profile profile;
  profile.name = core::ProfileName(name);
  profile.account.queue = queue;
  return profile;
}

/// \brief Any edit on a few names, so that edits meet one another.
inline rc::Gen<Edit> AnyEdit() {
  return rc::gen::exec([]() -> Edit {
    const auto name = *rc::gen::element<std::string>("a", "b", "default", "default");
    const auto queue = *rc::gen::inRange<std::uint32_t>(0, 1000);
    switch (*rc::gen::inRange(0, 6)) {
      case 0:
        return CreateProfile{MakeProfile(name, queue)};
      case 1:
        return RetireProfile{core::ProfileName(name), *rc::gen::arbitrary<bool>()};
      case 2:
        return AssignService{core::ServiceId("orders"), core::ProfileName(name)};
      case 3:
        return SetDefaultProfile{core::ProfileName(name)};
      default:
        return ChangeProfile{MakeProfile(name, queue)};
    }
  });
}

inline std::string Numbered(const char* prefix, std::uint64_t number) {
  std::string text(prefix);
  text += std::to_string(number);
  return text;
}

inline ChangeRequest MakeRequest(const std::string& id, Edit edit) {
  return {ChangeId(id), OperatorName("ana"), 1'700'000'000'000, std::nullopt, std::move(edit)};
}

}  // namespace cornelrelay::profile::testing

namespace rc {

template <>
struct Arbitrary<cornelrelay::profile::Profile> {
  static Gen<cornelrelay::profile::Profile> arbitrary() {
    return gen::exec([] {
      namespace p = cornelrelay::profile;
      p::Profile profile;
      profile.name = cornelrelay::core::ProfileName(*gen::element<std::string>("a", "b-2", "9"));
      profile.request.deadline = std::chrono::milliseconds(*gen::inRange(1, 3'600'000));
      profile.request.priority =
          *gen::element(p::Priority::kLow, p::Priority::kNormal, p::Priority::kHigh);
      profile.request.all_idempotent = *gen::arbitrary<bool>();
      profile.request.key_required = *gen::arbitrary<bool>();
      profile.request.idempotent_calls = *gen::container<std::vector<p::CallPattern>>(
          gen::element(p::CallPattern{"GET", "/"}, p::CallPattern{"*", "/a\"b\\c"}));
      profile.request.idempotent_calls.resize(
          std::min<std::size_t>(profile.request.idempotent_calls.size(), 32));
      profile.retry.attempts = *gen::inRange<std::uint32_t>(2, 11);
      const bool hedges = profile.IsIdempotent("GET", "/");
      profile.retry.hedges = hedges ? *gen::inRange<std::uint32_t>(0, 2) : 0;
      profile.retry.budget_ratio = *gen::inRange(0, 1001) / 1000.0;
      profile.account.rate_per_s = *gen::inRange(1, 1'000'000) / 7.0;
      profile.account.queue = *gen::inRange<std::uint32_t>(0, 1'000'001);
      profile.routing.prefix_affinity = *gen::arbitrary<bool>();
      profile.routing.affinity_load_bound = 1 + *gen::inRange(0, 99'000) / 1000.0;
      profile.rebalancing.skew_weight = *gen::inRange(0, 1001) / 1000.0;
      return profile;
    });
  }
};

}  // namespace rc
