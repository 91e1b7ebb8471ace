#include "cornelrelay/runtime/process_setup.h"

#include <random>
#include <string>

namespace cornelrelay::runtime {

std::uint64_t SeedOf(std::optional<std::uint64_t> configured) {
  if (configured) return *configured;
  std::random_device device;
  return (static_cast<std::uint64_t>(device()) << 32U) | device();
}

std::uint64_t IncarnationAt(const ProcessClock& clock) {
  return static_cast<std::uint64_t>(clock.Now().time_since_epoch().count());
}

wire::MacKey ToMacKey(const settings::ControlKey& key) {
  return wire::MacKey(std::string(key.bytes().begin(), key.bytes().end()));
}

gossip::NodeSettings ToNodeSettings(const settings::CommonSettings& common, gossip::Role role,
                                    std::uint64_t incarnation) {
  gossip::NodeSettings node;
  node.self = common.host;
  node.role = role;
  node.data_centre = common.data_centre;
  node.control = common.control;
  node.incarnation = incarnation;
  node.seeds = common.peers;
  node.random_seed = incarnation;
  return node;
}

}  // namespace cornelrelay::runtime
