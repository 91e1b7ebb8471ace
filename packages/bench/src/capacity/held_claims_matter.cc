#include <cassert>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "capacity/claim_store_events.h"
#include "capacity/matters.h"
#include "capacity/meter.h"
#include "cornelrelay/claims/claim_owner.h"
#include "cornelrelay/core/overloaded.h"
#include "cornelrelay/core/random.h"
#include "cornelrelay/store/store_client.h"
#include "cornelrelay/store/testing/store_model.h"

namespace cornelrelay::bench {
namespace {

using claims::ClaimOwner;
using std::chrono::milliseconds;
using store::testing::StoreModel;

const core::HostId kClient("client");
// Claims in one batch. With large batches a segment is sealed by claims whose outcomes then need a
// second place in a later segment.
constexpr std::size_t kSmallBatch = 2;
constexpr std::size_t kLargeBatch = 32;

// Serves all store calls at once, for filling.
void Settle(ClaimOwner& owner, StoreModel& store, core::Instant now,
            const claims::OwnerEvent& event) {
  std::deque<claims::OwnerEvent> events{event};
  while (!events.empty()) {
    const auto actions = owner.Step(now, events.front());
    events.pop_front();
    for (const auto& action : actions) {
      std::visit(core::Overloaded{[](const claims::SendClaimReply&) {},
                                  [](const claims::SendFinishAck&) {},
                                  [&](const auto& call) {
                                    const auto reply = store.Handle(now, 1, ToStoreRequest(call));
                                    events.push_back(ToOwnerEvent(call.call, *reply));
                                  }},
                 action);
    }
  }
}

claims::ClaimCall NewCall(core::Random& random, core::Instant now) {
  claims::ClaimCall call;
  call.call = claims::ClaimCallId(random(), random());
  call.key = claims::KeyDigest(random(), random());
  call.body = claims::BodyDigest(random(), random());
  call.key_time = now;
  return call;
}

// Claims `count` keys in batches; each is finished after `delay` more batches.
core::Instant Fill(ClaimOwner& owner, StoreModel& store, core::Random& random, std::size_t count,
                   std::size_t size, std::size_t delay) {
  core::Instant now(std::chrono::hours(490000));
  std::deque<std::vector<claims::ClaimCall>> running;
  const auto finish_oldest = [&] {
    for (const claims::ClaimCall& call : running.front()) {
      Settle(owner, store, now,
             claims::ClaimFinishReceived{
                 kClient,
                 {call.call, 0, call.key, claims::ClaimState::kCompleted, std::string(100, 'a')}});
    }
    running.pop_front();
    for (int i = 0; i < 4; ++i) Settle(owner, store, now += milliseconds(100), claims::ClaimTick{});
  };
  for (std::size_t made = 0; made < count; made += size) {
    std::vector<claims::ClaimCall> batch;
    for (std::size_t i = 0; i < size; ++i) {
      batch.push_back(NewCall(random, now));
      Settle(owner, store, now, claims::ClaimCallReceived{kClient, batch.back()});
    }
    for (int i = 0; i < 4; ++i) Settle(owner, store, now += milliseconds(100), claims::ClaimTick{});
    running.push_back(std::move(batch));
    if (running.size() > delay) finish_oldest();
  }
  while (!running.empty()) finish_oldest();
  return now;
}

struct TakeOver {
  double reads = 0;
  double bytes = 0;
  double seconds = 0;
};

// A new owner opens the partition through a store client; a caller asks once a second.
TakeOver Open(ClaimOwner& owner, StoreModel& store, core::Random& random, core::Instant now) {
  store::StoreClient client(store::StoreClientOptions{}, random());
  std::map<store::StoreCallId, claims::StoreCallId> calls;
  std::multimap<core::Instant, store::ReplyReceived> replies;
  TakeOver result;
  bool granted = false;
  const core::Instant start = now;
  std::function<void(const claims::OwnerEvent&)> step;
  const std::function<void(const store::StoreClientEvent&)> step_client = [&](const store::
                                                                                  StoreClientEvent&
                                                                                      event) {
    for (const auto& action : client.Step(now, event)) {
      std::visit(
          core::Overloaded{
              [&](const store::TransmitCall& a) {
                auto reply = *store.Handle(now, 1, a.request);
                if (const auto* read = std::get_if<store::ValueRead>(&reply)) {
                  ++result.reads;
                  if (read->current) {
                    result.bytes += static_cast<double>(read->current->value.size());
                  }
                }
                replies.emplace(now + milliseconds(3), store::ReplyReceived{a.transmission, reply});
              },
              [](const store::AbandonTransmission&) {},
              [&](const store::DeliverReply& a) { step(ToOwnerEvent(calls.at(a.call), a.reply)); }},
          action);
    }
  };
  step = [&](const claims::OwnerEvent& event) {
    for (const auto& action : owner.Step(now, event)) {
      std::visit(core::Overloaded{[&](const claims::SendClaimReply& a) {
                                    granted = granted ||
                                              a.message.answer == claims::ClaimAnswer::kGranted;
                                  },
                                  [](const claims::SendFinishAck&) {},
                                  [&](const auto& call) {
                                    const store::StoreCallId id = calls.size() + 1;
                                    calls[id] = call.call;
                                    step_client(store::CallSubmitted{id, ToStoreRequest(call)});
                                  }},
                 action);
    }
  };
  core::Instant next_call = now;
  while (!granted && now < start + std::chrono::hours(2)) {
    if (now >= next_call) {
      step(claims::ClaimCallReceived{kClient, NewCall(random, now)});
      next_call = now + std::chrono::seconds(1);
    }
    now += milliseconds(1);
    while (!replies.empty() && replies.begin()->first <= now) {
      const auto reply = std::move(replies.begin()->second);
      replies.erase(replies.begin());
      step_client(reply);
    }
    const auto wake = client.NextWake(now);
    if (wake && *wake <= now) step_client(store::ClientTick{});
    const auto due = owner.NextTick();
    if (due && *due <= now) step(claims::ClaimTick{});
  }
  result.seconds = std::chrono::duration<double>(now - start).count();
  return result;
}

}  // namespace

Table MeasureHeldClaims(std::uint64_t seed, std::size_t places) {
  assert(places == 1 || places == 2);
  Table table("held-claims-" + std::to_string(places),
              "Claims held in one partition, answers of 100 bytes; " + std::to_string(places) +
                  " segment place(s) a claim; take-over within the store budget of one process; "
                  "CPU is noisy",
              {"held", "owner_heap_bytes", "heap_bytes_per_claim", "take_over_reads",
               "take_over_bytes", "take_over_s", "take_over_cpu_ms"});
  for (const std::size_t held : {1024U, 4096U, 16384U, 65536U}) {
    StoreModel store;
    core::Random random(seed);
    ClaimOwner first(core::HostId("first"), 0, claims::OwnerSettings{}, seed);
    const core::Instant now = places == 1 ? Fill(first, store, random, held, kSmallBatch, 0)
                                          : Fill(first, store, random, held, kLargeBatch, 6);
    auto second =
        std::make_unique<ClaimOwner>(core::HostId("second"), 0, claims::OwnerSettings{}, seed + 1);
    const double before = CpuMicroseconds();
    const TakeOver opened = Open(*second, store, random, now);
    const double cpu = CpuMicroseconds() - before;
    const double with = HeapBytes();
    second.reset();
    const double heap = with - HeapBytes();
    const auto n = static_cast<double>(held);
    table.Add({n, heap, heap / n, opened.reads, opened.bytes, opened.seconds, cpu / 1e3});
  }
  // Keys are kept for 24 h: at 9,100 requests/s throughout and 1% claims, 491,400 a partition.
  constexpr double kTarget = 491400;
  for (const char* column : {"owner_heap_bytes", "take_over_reads", "take_over_bytes",
                             "take_over_s", "take_over_cpu_ms"}) {
    table.Fit("held", column, kTarget);
  }
  return table;
}

}  // namespace cornelrelay::bench
