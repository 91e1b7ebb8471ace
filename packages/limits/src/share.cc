#include "cornelrelay/limits/share.h"

#include <algorithm>
#include <string>

#include "cornelrelay/core/hash.h"

namespace cornelrelay::limits {

namespace {

// Equal scores are ordered by id, so that all processes rank the members alike.
std::pair<std::uint64_t, std::string_view> Rank(std::string_view key, const Member& member) {
  return {core::RendezvousScore(key, member.id.value()), member.id.value()};
}

}  // namespace

std::uint64_t ViewId(std::vector<Member> members) {
  std::sort(members.begin(), members.end());
  std::uint64_t digest = members.size();
  for (const Member& member : members) {
    digest = core::Hash64(member.id.value(), digest);
    digest = core::Hash64(std::to_string(member.incarnation), digest);
  }
  return digest;
}

std::uint64_t ShareOf(std::uint64_t limit, std::string_view key, const std::vector<Member>& members,
                      const core::HostId& self) {
  const auto own =
      std::find_if(members.begin(), members.end(), [&](const Member& m) { return m.id == self; });
  if (own == members.end()) return 0;
  const std::uint64_t whole = limit / members.size();
  const std::uint64_t remainder = limit % members.size();
  if (remainder == 0) return whole;
  const auto rank = Rank(key, *own);
  const auto ranked_above = static_cast<std::uint64_t>(std::count_if(
      members.begin(), members.end(), [&](const Member& m) { return Rank(key, m) > rank; }));
  return whole + (ranked_above < remainder ? 1 : 0);
}

core::HostId FirstHolder(std::string_view key, const std::vector<Member>& members) {
  const auto first = std::max_element(
      members.begin(), members.end(),
      [&](const Member& a, const Member& b) { return Rank(key, a) < Rank(key, b); });
  return first == members.end() ? core::HostId() : first->id;
}

}  // namespace cornelrelay::limits
