#include "cornelrelay/gossip/message_size.h"

#include <bit>
#include <string>

#include "cornelrelay/core/overloaded.h"

namespace cornelrelay::gossip {
namespace {

std::size_t Text(const std::string& text) { return 1 + text.size(); }
std::size_t Address(const core::Endpoint& endpoint) { return Text(endpoint.address) + 2; }

std::size_t PayloadSize(const Payload& payload) {
  return std::visit(core::Overloaded{[](const MemberState& m) {
                                       return 1 + Text(m.data_centre.value()) + Address(m.control) +
                                              8;
                                     },
                                     [](const UpstreamStatus& s) {
                                       return Text(s.service.value()) +
                                              Text(s.data_centre.value()) + Address(s.endpoint) + 5;
                                     },
                                     [](const LeavingNotice&) { return std::size_t{1}; },
                                     [](const LimitStanding&) { return std::size_t{9}; },
                                     [](const CrashNote& c) { return 2 + c.bytes.size(); }},
                    payload);
}

}  // namespace

std::size_t EnvelopeBytes(const core::HostId& sender) {
  // Two marks, format, id with its length, incarnation, counter, authentication code.
  return 4 + sender.value().size() + 8 + 8 + 16;
}

std::size_t EncodedSize(const Record& record) {
  // Kind, subject, origin, incarnation 8, sequence 4, time to live 2, age 2.
  return 1 + Text(record.key.subject) + Text(record.origin.value()) + 16 +
         PayloadSize(record.payload);
}

std::size_t EncodedSize(const StatusDelta& delta) {
  return Text(delta.upstream.value()) + 12 +
         static_cast<std::size_t>(std::popcount(static_cast<unsigned>(delta.changed & 0x0fU)));
}

std::size_t EncodedSize(const StatusSample&) { return 11; }

std::size_t EncodedSize(const GossipPush& push) {
  std::size_t size = 3;
  for (const Record& record : push.records) size += EncodedSize(record);
  for (const StatusDelta& delta : push.deltas) size += EncodedSize(delta);
  return size + push.samples.size() * EncodedSize(StatusSample{});
}

std::size_t EncodedSize(const Message& message) {
  return std::visit(core::Overloaded{[](const GossipPush& push) { return 1 + EncodedSize(push); },
                                     [](const ProbeRequest& request) {
                                       return 5 + Text(request.target.value()) +
                                              EncodedSize(request.push);
                                     },
                                     [](const auto& probe) { return 5 + EncodedSize(probe.push); }},
                    message);
}

}  // namespace cornelrelay::gossip
