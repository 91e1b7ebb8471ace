#include "capacity/claims_world.h"

#include <algorithm>
#include <cstdio>
#include <utility>

#include "capacity/claim_store_events.h"
#include "cornelrelay/core/overloaded.h"
#include "cornelrelay/wire/sealed_datagram.h"

namespace cornelrelay::bench {
namespace {

constexpr core::Duration kStep = std::chrono::milliseconds(1);
constexpr core::Duration kNetworkDelay = std::chrono::milliseconds(1);
const core::HostId kClient("entry-000");

claims::IdempotencyKey KeyAt(core::Instant time, std::uint64_t random) {
  const auto ms = std::chrono::floor<std::chrono::milliseconds>(time).time_since_epoch().count();
  char text[40];
  std::snprintf(text, sizeof text, "%08llx-%04llx-7000-8000-%012llx",
                static_cast<unsigned long long>(ms >> 16),
                static_cast<unsigned long long>(ms & 0xffff),
                static_cast<unsigned long long>(random & 0xffffffffffffULL));
  return claims::IdempotencyKey::Parse(text);
}

claims::ClientSettings AllCallers() {
  claims::ClientSettings settings;
  settings.max_calls = 1'000'000;  // one client stands for 350 processes
  return settings;
}

}  // namespace

ClaimsWorld::Process::Process(const Options&, std::uint64_t seed)
    : store(store::StoreClientOptions{}, seed) {}

ClaimsWorld::ClaimsWorld(Options options)
    : m_options(options),
      m_random(options.seed),
      m_now(std::chrono::hours(490000)),
      m_client(kClient, 1, options.seed, AllCallers()) {
  for (int i = 0; i < options.processes; ++i) {
    char name[24];
    std::snprintf(name, sizeof name, "entry-%03d", i);
    m_members.insert(core::HostId(name));
  }
  for (std::uint32_t p = 0; p < claims::kPartitions; ++p) {
    const core::HostId host = claims::PreferredOwner(p, m_members);
    m_owner_hosts.push_back(host);
    m_owners.emplace_back(host, p, claims::OwnerSettings{}, options.seed + p);
    m_processes.try_emplace(host, options, m_random());
  }
  StepClient(claims::LiveMembers{m_members});
}

std::size_t ClaimsWorld::MostPartitions() const {
  std::size_t most = 0;
  for (const auto& [host, process] : m_processes) {
    most = std::max(most, static_cast<std::size_t>(
                              std::count(m_owner_hosts.begin(), m_owner_hosts.end(), host)));
  }
  return most;
}

void ClaimsWorld::After(core::Duration delay, std::function<void()> action) {
  m_events.emplace(m_now + delay, std::move(action));
}

void ClaimsWorld::Run(core::Duration duration) {
  const core::Instant end = m_now + duration;
  while (m_now < end) {
    m_now += kStep;
    m_due += m_options.claims_per_second / 1000;
    for (; m_due >= 1; m_due -= 1) Arrive();
    while (!m_events.empty() && m_events.begin()->first <= m_now) {
      const auto action = std::move(m_events.begin()->second);
      m_events.erase(m_events.begin());
      action();
    }
    for (auto& [host, process] : m_processes) {
      const auto wake = process.store.NextWake(m_now);
      if (wake && *wake <= m_now) StepStore(host, store::ClientTick{});
    }
    for (std::uint32_t p = 0; p < claims::kPartitions; ++p) {
      const auto due = m_owners[p].NextTick();
      if (due && *due <= m_now) StepOwner(p, claims::ClaimTick{});
    }
    const auto due = m_client.NextTick();
    if (due && *due <= m_now) StepClient(claims::ClaimTick{});
  }
}

void ClaimsWorld::Arrive() {
  const std::uint64_t number = ++m_requests;
  const auto id = core::RequestId("request-" + std::to_string(number));
  const auto account = core::ClientAccountId("account-" + std::to_string(m_random.Below(13000)));
  StepClient(claims::ClaimRequested{id, account, KeyAt(m_now, m_random()),
                                    claims::BodyDigest(m_random(), m_random()),
                                    m_now + std::chrono::seconds(30)});
}

wire::ControlMessage ClaimsWorld::Transfer(const wire::ControlMessage& message) {
  static const wire::MacKey key(std::string(32, 'k'));
  const std::string bytes =
      wire::Seal({kClient, 1, ++m_tally.messages, wire::Encode(message)}, key);
  m_tally.message_bytes += bytes.size();
  return wire::Decode(wire::Open(bytes, key, 1200).payload);
}

void ClaimsWorld::StepClient(const claims::ClientEvent& event) {
  const auto to_owner = [this](const wire::ControlMessage& message) {
    After(kNetworkDelay, [this, copy = Transfer(message)] {
      if (const auto* call = std::get_if<claims::ClaimCall>(&copy)) {
        StepOwner(call->partition, claims::ClaimCallReceived{kClient, *call});
      } else if (const auto* finish = std::get_if<claims::ClaimFinish>(&copy)) {
        StepOwner(finish->partition, claims::ClaimFinishReceived{kClient, *finish});
      }
    });
  };
  for (const claims::ClientAction& action : m_client.Step(m_now, event)) {
    std::visit(core::Overloaded{[&](const claims::SendClaimCall& a) { to_owner(a.message); },
                                [&](const claims::SendClaimFinish& a) { to_owner(a.message); },
                                [&](const claims::GrantClaim& a) {
                                  ++m_tally.granted;
                                  After(m_options.service_time, [this, id = a.request] {
                                    StepClient(claims::OutcomeKnown{
                                        id, claims::ClaimState::kCompleted,
                                        std::string(m_options.answer_bytes, 'a')});
                                  });
                                },
                                [&](const claims::DenyClaim&) { ++m_tally.denied; }},
               action);
  }
}

void ClaimsWorld::StepOwner(std::uint32_t partition, const claims::OwnerEvent& event) {
  const auto to_client = [this](const wire::ControlMessage& message) {
    After(kNetworkDelay, [this, copy = Transfer(message)] {
      if (const auto* reply = std::get_if<claims::ClaimReply>(&copy)) {
        StepClient(claims::ClaimReplyReceived{*reply});
      } else if (const auto* ack = std::get_if<claims::ClaimFinishAck>(&copy)) {
        StepClient(claims::FinishAckReceived{*ack});
      }
    });
  };
  for (const claims::OwnerAction& action : m_owners[partition].Step(m_now, event)) {
    std::visit(
        core::Overloaded{[&](const claims::SendClaimReply& a) { to_client(a.message); },
                         [&](const claims::SendFinishAck& a) { to_client(a.message); },
                         [&](const auto& a) { Submit(partition, a.call, ToStoreRequest(a)); }},
        action);
  }
}

void ClaimsWorld::Submit(std::uint32_t partition, claims::StoreCallId call,
                         store::StoreRequest request) {
  const core::HostId& host = m_owner_hosts[partition];
  Process& process = m_processes.at(host);
  const store::StoreCallId id = ++process.last_call;
  process.calls[id] = {partition, call};
  StepStore(host, store::CallSubmitted{id, std::move(request)});
}

void ClaimsWorld::StepStore(const core::HostId& host, const store::StoreClientEvent& event) {
  for (const auto& action : m_processes.at(host).store.Step(m_now, event)) {
    std::visit(
        core::Overloaded{[&](const store::TransmitCall& a) {
                           ++m_tally.calls_of[host];
                           if (const auto* swap = std::get_if<store::CompareAndSwap>(&a.request)) {
                             ++m_tally.writes;
                             m_tally.written_bytes += swap->value.size();
                           } else {
                             ++m_tally.reads;
                           }
                           After(m_options.store_delay, [this, host, a] {
                             const auto reply = m_store.Handle(m_now, ++m_transmissions, a.request);
                             if (reply) {
                               StepStore(host, store::ReplyReceived{a.transmission, *reply});
                             }
                           });
                         },
                         [](const store::AbandonTransmission&) {},
                         [&](const store::DeliverReply& a) { Deliver(host, a); }},
        action);
  }
}

void ClaimsWorld::Deliver(const core::HostId& host, const store::DeliverReply& delivery) {
  Process& process = m_processes.at(host);
  const auto found = process.calls.find(delivery.call);
  const auto [partition, call] = found->second;
  process.calls.erase(found);
  StepOwner(partition, ToOwnerEvent(call, delivery.reply));
}

}  // namespace cornelrelay::bench
