#include "cornelrelay/profile/profile_document.h"

#include <rapidcheck.h>

#include <catch2/catch.hpp>
#include <fstream>
#include <sstream>

#include "cornelrelay/profile/invalid_profile_document.h"
#include "cornelrelay/profile/profile_diff.h"
#include "generators.h"

namespace cornelrelay::profile {
namespace {

std::string ReadExample(const std::string& name) {
  std::ifstream file(std::string(CORNELRELAY_EXAMPLES) + "/" + name);
  REQUIRE(file.good());
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

std::vector<DocumentFault> FaultsOf(const std::string& text) {
  try {
    const ProfileDocument document(text, "test.toml");
  } catch (const InvalidProfileDocument& e) {
    return e.faults();
  }
  return {};
}

// Guards against examples that operators copy and that then do not load, or that lost the
// difference between the two deployments.
TEST_CASE("the example profiles are valid") {
  const Profile orders =
      ProfileDocument(ReadExample("morning-peak.toml"), "morning-peak.toml").profile();
  const Profile dispatch =
      ProfileDocument(ReadExample("all-day-drift.toml"), "all-day-drift.toml").profile();
  CHECK(orders.rebalancing.skew_weight > dispatch.rebalancing.skew_weight);
  CHECK_FALSE(orders.IsIdempotent("POST", "/orders/"));
  CHECK_FALSE(dispatch.IsIdempotent("POST", "/deliveries"));
  CHECK(dispatch.IsIdempotent("GET", "/routes/17"));
}

// Guards against operators having to correct a document one message at a time.
TEST_CASE("all faults of a document are reported with their places") {
  const auto faults = FaultsOf(R"(name = "Or ders"
colour = 1
[request]
deadline_ms = "soon"
priority = "urgent"
idempotent_calls = ["GET /a", "GET", 7]
[retry]
attempts = 2
hedges = 2
budget_ratio = 1.5
tries = 3
[account]
queue = -1
)");
  std::vector<std::pair<std::uint32_t, std::string>> found;
  for (const auto& fault : faults) {
    found.emplace_back(fault.line, fault.message.substr(0, fault.message.find(':')));
    CHECK(fault.column >= 1);
  }
  CHECK(found == std::vector<std::pair<std::uint32_t, std::string>>{{1, "name"},
                                                                    {2, "colour"},
                                                                    {4, "request.deadline_ms"},
                                                                    {5, "request.priority"},
                                                                    {6, "request.idempotent_calls"},
                                                                    {6, "request.idempotent_calls"},
                                                                    {9, "retry.hedges"},
                                                                    {10, "retry.budget_ratio"},
                                                                    {11, "retry.tries"},
                                                                    {13, "account.queue"}});
  CHECK(faults[2].column == 15);
}

// Guards against broken texts escaping as another exception or being accepted.
TEST_CASE("texts that are no profile are refused") {
  for (const std::string text :
       {"", "name", "name = 'a'\n[.a]", "name = 'a'\n[request", "request = 3\nname = 'a'",
        "name = 'a'\nname = 'b'", "name = 'a'\n[retry]\nbudget_ratio = nan",
        "name = 'a'\n[[account]]\nqueue = 1",
        "name = 'a'\n[request]\ndeadline_ms = 9223372036854775807"}) {
    CHECK(FaultsOf(text).size() == 1);
  }
  CHECK(FaultsOf(std::string(100'000, '#')).size() == 1);
}

// Guards against a hedge of a call that must not run twice.
TEST_CASE("hedging needs idempotent calls") {
  CHECK(FaultsOf("name = 'a'\n[retry]\nhedges = 1").size() == 1);
  CHECK(FaultsOf("name = 'a'\n[request]\nall_idempotent = true\n[retry]\nhedges = 1").empty());
}

// Guards against `profile show` giving a text that changes the profile when it is loaded again.
TEST_CASE("the text of a profile parses to the same profile") {
  CHECK(rc::check([](const Profile& profile) {
    RC_ASSERT(ProfileDocument(ProfileDocument(profile).Text(), "t").profile() == profile);
  }));
}

// Guards against a diff that hides a difference or names a field that is the same.
TEST_CASE("a diff names exactly the fields that differ") {
  Profile before;
  before.name = core::ProfileName("a");
  Profile after = before;
  after.retry.attempts = 3;
  after.rebalancing.skew_weight = 0.25;
  CHECK(ProfileDiff(before, after).Lines() ==
        std::vector<std::string>{"retry.attempts: 2 -> 3", "rebalancing.skew_weight: 0.5 -> 0.25"});
  CHECK(ProfileDiff(before, before).empty());
  CHECK(ProfileDiff(std::nullopt, after).Lines().size() == FieldTexts(after).size());
}

}  // namespace
}  // namespace cornelrelay::profile
