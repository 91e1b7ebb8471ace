#include "cornelrelay/balance/rank_order.h"

#include <array>
#include <cassert>

#include "cornelrelay/balance/switch_messages.h"

namespace cornelrelay::balance {

std::string_view KindName(const RankOrder& order) {
  constexpr std::array<std::string_view, std::variant_size_v<RankOrder>> kNames = {
      "prepare", "arm", "disarm", "hold", "release", "observe"};
  return kNames.at(order.index());
}

std::string_view ToString(OrderResult result) {
  switch (result) {
    case OrderResult::kDone:
      return "done";
    case OrderResult::kRefused:
      return "refused";
    case OrderResult::kFenced:
      return "fenced";
    case OrderResult::kUnknown:
      return "unknown";
  }
  assert(false);
  return "unknown";
}

std::string_view ToString(SwitchOutcome outcome) {
  switch (outcome) {
    case SwitchOutcome::kSwitched:
      return "switched";
    case SwitchOutcome::kGivenUp:
      return "given_up";
    case SwitchOutcome::kAborted:
      return "aborted";
    case SwitchOutcome::kEpochOver:
      return "epoch_over";
    case SwitchOutcome::kFenced:
      return "fenced";
  }
  assert(false);
  return "unknown";
}

}  // namespace cornelrelay::balance
