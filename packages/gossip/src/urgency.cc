#include "cornelrelay/gossip/urgency.h"

#include "cornelrelay/core/overloaded.h"

namespace cornelrelay::gossip {

Urgency UrgencyOf(const Record* previous, const Record& record, std::uint64_t highest_revision) {
  const bool restarted =
      previous == nullptr || previous->version.incarnation != record.version.incarnation;
  return std::visit(
      core::Overloaded{
          [](const LeavingNotice&) { return Urgency::kLeaving; },
          // Shares stay small until every member has heard every statement.
          [](const LimitStanding&) { return Urgency::kRevision; },
          [](const CrashNote&) { return Urgency::kCrash; },
          [&](const UpstreamStatus& status) {
            if (status.draining &&
                !(previous != nullptr && std::get<UpstreamStatus>(previous->payload).draining)) {
              return Urgency::kLeaving;
            }
            return restarted ? Urgency::kJoin : Urgency::kRoutine;
          },
          [&](const MemberState& member) {
            if (member.revision > highest_revision) return Urgency::kRevision;
            const Life before =
                previous == nullptr ? Life::kAlive : std::get<MemberState>(previous->payload).life;
            // The loss of an agent takes no upstream out of use, so it can wait.
            const bool agent = member.role == Role::kAgent && member.life != Life::kLeft;
            if (member.life != before) return agent ? Urgency::kJoin : Urgency::kSuspicion;
            return restarted ? Urgency::kJoin : Urgency::kRoutine;
          }},
      record.payload);
}

}  // namespace cornelrelay::gossip
