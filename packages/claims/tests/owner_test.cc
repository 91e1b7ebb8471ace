#include <catch2/catch.hpp>
#include <optional>
#include <vector>

#include "cornelrelay/claims/claim_owner.h"

namespace cornelrelay::claims {
namespace {

using std::chrono::seconds;

const core::Instant kNow{seconds(1'800'000'000)};
const core::HostId kEntry("entry-2");

ClaimCall CallWith(std::uint64_t id) {
  ClaimCall call;
  call.call = ClaimCallId(0, id);
  call.key = KeyDigest(1, 2);
  call.body = BodyDigest(3, 4);
  call.key_time = kNow;
  return call;
}

/// Runs an owner against a store that holds nothing but accepts every write.
class OwnerRun {
 public:
  std::vector<ClaimReply> Step(const OwnerEvent& event) {
    std::vector<ClaimReply> replies;
    std::vector<OwnerEvent> events{event};
    for (std::size_t i = 0; i < events.size(); ++i) {
      for (const auto& action : m_owner.Step(kNow, events[i])) {
        if (const auto* reply = std::get_if<SendClaimReply>(&action))
          replies.push_back(reply->message);
        if (const auto* read = std::get_if<StoreRead>(&action)) {
          events.emplace_back(StoreReadDone{read->call, 0, {}});
        }
        if (const auto* swap = std::get_if<StoreSwap>(&action)) {
          events.emplace_back(StoreSwapDone{swap->call, true, ++m_revision});
        }
      }
    }
    return replies;
  }

 private:
  ClaimOwner m_owner{core::HostId("entry-1"), 0, OwnerSettings{}, 7};
  StoreRevision m_revision = 0;
};

}  // namespace

// Guards against "outcome unknown" for a repetition within the batch window after the completion.
TEST_CASE("a completion answers repetitions before it is durable") {
  OwnerRun run;
  const auto granted = run.Step(ClaimCallReceived{kEntry, CallWith(1)});
  REQUIRE(granted.size() == 1);
  REQUIRE(granted[0].answer == ClaimAnswer::kGranted);

  const auto repeated = run.Step(ClaimCallReceived{kEntry, CallWith(2)});
  REQUIRE(repeated.size() == 1);
  CHECK(repeated[0].answer == ClaimAnswer::kOutcomeUnknown);

  run.Step(ClaimFinishReceived{
      kEntry, {CallWith(1).call, 0, CallWith(1).key, ClaimState::kCompleted, "done"}});
  const auto answered = run.Step(ClaimCallReceived{kEntry, CallWith(3)});
  REQUIRE(answered.size() == 1);
  CHECK(answered[0].answer == ClaimAnswer::kCompleted);
  CHECK(answered[0].recorded == "done");
}

}  // namespace cornelrelay::claims
