#include "cornelrelay/ranks/call_admission.h"

#include <catch2/catch.hpp>

namespace cornelrelay::ranks {
namespace {

const core::GroupId kGroup("g0-0");
const core::GroupId kOther("g0-1");

}  // namespace

// Guards against groups without a leader: fences are revisions of the store, so the group that
// elected last had the highest one, and its calls fenced the leaders of all other groups.
TEST_CASE("a call of another group's leader raises no fence") {
  CallAdmission admission;
  admission.JoinGroup(kGroup);
  admission.RaiseFence(30);
  CHECK(admission.Admit(kOther, 110) == CallVerdict::kOtherGroup);
  CHECK(admission.fence() == 30);
  CHECK(admission.Admit(kGroup, 30) == CallVerdict::kAdmitted);
}

TEST_CASE("calls of an older leader of the group are fenced") {
  CallAdmission admission;
  admission.JoinGroup(kGroup);
  admission.RaiseFence(30);
  CHECK(admission.Admit(kGroup, 57) == CallVerdict::kAdmitted);
  CHECK(admission.Admit(kGroup, 30) == CallVerdict::kFenced);
}

TEST_CASE("no call is admitted before the group and a fence are known") {
  CallAdmission admission;
  admission.RaiseFence(7);
  CHECK(admission.Admit(kGroup, 7) == CallVerdict::kFenceUnknown);
  CallAdmission joined;
  joined.JoinGroup(kGroup);
  CHECK(joined.Admit(kGroup, 7) == CallVerdict::kFenceUnknown);
}

}  // namespace cornelrelay::ranks
