#include "cornelrelay/runtime/control_plane.h"

#include <utility>
#include <variant>

#include "cornelrelay/core/error.h"
#include "cornelrelay/core/overloaded.h"
#include "cornelrelay/wire/sealed_datagram.h"

namespace cornelrelay::runtime {
namespace {

constexpr std::size_t kMaxDatagram = 1200;
/// Header and code of a sealed message beside its payload.
constexpr std::size_t kSealOverhead = 256;
constexpr std::chrono::milliseconds kTick{250};

}  // namespace

ControlPlane::ControlPlane(boost::asio::io_context& context, const ProcessClock& clock,
                           const gossip::NodeSettings& settings, const wire::MacKey& key,
                           MessageHandler on_message, RecordHandler on_record)
    : m_clock(clock),
      m_self(settings.self),
      m_incarnation(settings.incarnation),
      m_key(key),
      m_on_message(std::move(on_message)),
      m_on_record(std::move(on_record)),
      m_node(settings),
      m_channel(
          context, settings.control,
          [this](const core::Endpoint& from, const std::string& bytes) { Receive(from, bytes); }),
      m_timer(context, clock, [this] { Tick(); }) {}

void ControlPlane::Start() {
  m_channel.Start();
  Tick();
}

void ControlPlane::Tick() {
  Step(gossip::Tick{});
  m_timer.SetAt(m_clock.Now() + kTick);
}

void ControlPlane::Step(const gossip::NodeEvent& event) {
  for (const auto& action : m_node.Step(m_clock.Now(), event)) {
    std::visit(core::Overloaded{
                   [this](const gossip::Send& send) {
                     std::visit(
                         [&](const auto& message) {
                           SendBytes(send.endpoint, wire::ControlMessage(message));
                         },
                         send.message);
                   },
                   [this](const gossip::RecordChanged& changed) { m_on_record(changed.record); },
                   [](const gossip::Publish&) {}},
               action);
  }
}

void ControlPlane::Send(const core::HostId& to, const wire::ControlMessage& message) {
  if (to == m_self) {
    m_on_message(m_self, message);
    return;
  }
  if (const auto endpoint = EndpointOf(to)) SendBytes(*endpoint, message);
}

std::optional<core::Endpoint> ControlPlane::EndpointOf(const core::HostId& host) const {
  const auto* member = m_node.table().FindMember(host);
  if (!member) return std::nullopt;
  return member->control;
}

std::vector<core::HostId> ControlPlane::NearEntries() const {
  std::vector<core::HostId> entries;
  for (const auto& [key, stored] : m_node.table().records()) {
    const auto* member = std::get_if<gossip::MemberState>(&stored.record.payload);
    const bool near = member != nullptr && member->role == gossip::Role::kEntry &&
                      member->life == gossip::Life::kAlive &&
                      member->data_centre == m_node.settings().data_centre &&
                      key.subject != m_self.value();
    if (near) entries.emplace_back(key.subject);
  }
  return entries;
}

void ControlPlane::SendBytes(const core::Endpoint& to, const wire::ControlMessage& message) {
  ++m_counters.sent;
  m_channel.Send(to, SealMessage(message));
}

std::string ControlPlane::SealMessage(const wire::ControlMessage& message) {
  return wire::Seal({m_self, m_incarnation, ++m_counter, wire::Encode(message)}, m_key);
}

std::pair<core::HostId, wire::ControlMessage> ControlPlane::OpenMessage(const std::string& bytes) {
  return Open(bytes, wire::kMaxMessage + kSealOverhead);
}

std::pair<core::HostId, wire::ControlMessage> ControlPlane::Open(const std::string& bytes,
                                                                 std::size_t limit) {
  const wire::SealedDatagram datagram = wire::Open(bytes, m_key, limit);
  m_guard.Accept(datagram.sender, datagram.incarnation, datagram.counter);
  return {datagram.sender, wire::Decode(datagram.payload)};
}

void ControlPlane::Receive(const core::Endpoint& from, const std::string& bytes) {
  try {
    const auto [sender, message] = Open(bytes, kMaxDatagram);
    ++m_counters.received;
    Dispatch(sender, from, message);
  } catch (const core::Error&) {
    ++m_counters.rejected;
  }
}

void ControlPlane::Dispatch(const core::HostId& sender, const core::Endpoint& from,
                            const wire::ControlMessage& message) {
  const auto gossip_message = [&](const auto& m) { Step(gossip::Received{sender, from, m}); };
  std::visit(core::Overloaded{[&](const gossip::Probe& m) { gossip_message(m); },
                              [&](const gossip::ProbeAck& m) { gossip_message(m); },
                              [&](const gossip::ProbeRequest& m) { gossip_message(m); },
                              [&](const gossip::GossipPush& m) { gossip_message(m); },
                              [&](const auto&) { m_on_message(sender, message); }},
             message);
}

}  // namespace cornelrelay::runtime
