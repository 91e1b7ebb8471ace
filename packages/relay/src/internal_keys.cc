#include "cornelrelay/relay/internal_keys.h"

namespace cornelrelay::relay {
namespace {

constexpr std::string_view kEntryPrefix = "cornelrelay/entries/";

}  // namespace

std::string EntryProcessKey(const core::HostId& host) {
  return std::string(kEntryPrefix) + host.value();
}

std::optional<core::HostId> HostOfEntryProcessKey(std::string_view key) {
  if (!key.starts_with(kEntryPrefix)) return std::nullopt;
  return core::HostId(std::string(key.substr(kEntryPrefix.size())));
}

}  // namespace cornelrelay::relay
