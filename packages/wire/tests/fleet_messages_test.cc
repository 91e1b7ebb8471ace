#include "cornelrelay/wire/fleet_messages.h"

#include <rapidcheck.h>

#include <catch2/catch.hpp>
#include <chrono>

#include "cornelrelay/core/error.h"
#include "cornelrelay/wire/malformed_message.h"
#include "cornelrelay/wire/rank_messages.h"

namespace cornelrelay::wire {
namespace {

peers::PeerStatus Sample() {
  peers::PeerStatus b;
  b.host = core::HostId("entry-1");
  b.endpoint = {"10.1.0.40", 7340};
  b.incarnation = 17;
  b.sequence = 4;
  b.items_version = {2, 99};
  b.configuration_version = 1'000;
  b.store_connected = true;
  b.loads = {{core::UpstreamId("i-1"), 3}, {core::UpstreamId("i-2"), 12}};
  b.queues = {{core::ServiceId("llm"), 0, 5}, {core::ServiceId("llm"), 255, 7}};
  b.rate_limits = {{core::UpstreamId("i-1"), 2.5, std::chrono::milliseconds(30)},
                   {core::UpstreamId("i-2"), {}, std::chrono::seconds(4)}};
  b.suspects = {{quarantine::Fingerprint(7), {{1, std::chrono::milliseconds(12), true}}, {}},
                {quarantine::Fingerprint(8),
                 {{1, std::chrono::seconds(3), false}, {2, std::chrono::seconds(4), true}},
                 std::chrono::milliseconds(5)}};
  return b;
}

}  // namespace

TEST_CASE("bulletins and items keep their values") {
  CHECK(DecodePeerStatus(Encode(Sample())) == Sample());
  const ItemsTransfer transfer{{{"op/x", std::string("\0\xff", 2), 7}, {"gone", std::nullopt, 8}},
                               {2, 9},
                               true,
                               store::ItemChange{"op/x", "newer", 12}};
  CHECK(DecodeItemsTransfer(Encode(transfer)) == transfer);
}

// Guards against reads past the end of a status whose list of queues is cut short.
TEST_CASE("a status that ends within its queues is malformed") {
  peers::PeerStatus status;
  status.queues = {{core::ServiceId("llm"), 2, 5}, {core::ServiceId("llm"), 0, 1}};
  const std::string bytes = Encode(status);
  CHECK(DecodePeerStatus(bytes) == status);
  for (std::size_t size = 0; size < bytes.size(); ++size) {
    CHECK_THROWS_AS(DecodePeerStatus(bytes.substr(0, size)), core::Error);
  }
}

// Guards against processes that ended by themselves because an upstream had a long id (review/2).
TEST_CASE("an upstream with the longest id of the store is part of a status") {
  peers::PeerStatus status = Sample();
  const core::UpstreamId longest(std::string(200, 'i'));
  status.loads.push_back({longest, 2});
  status.rate_limits.push_back({longest, 1.5, std::chrono::milliseconds(10)});
  const EncodedStatus encoded = EncodeWithin(status, 65'507);
  CHECK(encoded.omitted == 0);
  CHECK(DecodePeerStatus(encoded.bytes) == status);
}

// Guards against processes that ended by themselves because a status could not be encoded.
TEST_CASE("a status leaves out what its format cannot hold") {
  peers::PeerStatus status = Sample();
  status.loads.push_back({core::UpstreamId(std::string(201, 'i')), 2});
  status.loads.push_back({core::UpstreamId("i-3"), 4});
  status.queues.push_back({core::ServiceId(std::string(300, 's')), 1, 1});
  status.rate_limits.push_back({core::UpstreamId(std::string(70'000, 'i')), 1.0, {}});
  status.suspects.push_back({quarantine::Fingerprint(9), {}, {}});
  status.suspects.back().crashes.resize(1'000);
  const EncodedStatus encoded = EncodeWithin(status, 65'507);
  CHECK(encoded.omitted == 4);
  peers::PeerStatus expected = Sample();
  expected.loads.push_back({core::UpstreamId("i-3"), 4});
  CHECK(DecodePeerStatus(encoded.bytes) == expected);
}

// Guards against statuses that receivers cut and ignore, so that the sender counts as silent.
TEST_CASE("a status of a process with many upstreams fits in a datagram") {
  peers::PeerStatus status = Sample();
  for (int n = 0; n < 5'000; ++n) {
    const core::UpstreamId id(std::string(150, 'i') + std::to_string(n));
    status.loads.push_back({id, 1});
    status.rate_limits.push_back({id, 1.0, {}});
  }
  const EncodedStatus encoded = EncodeWithin(status, 65'507);
  CHECK(encoded.bytes.size() <= 65'507);
  const peers::PeerStatus decoded = DecodePeerStatus(encoded.bytes);
  CHECK(decoded.loads.size() >= 100);
  CHECK(decoded.queues == status.queues);
  CHECK(decoded.suspects.size() == status.suspects.size());
  CHECK(encoded.omitted == status.loads.size() + status.rate_limits.size() - decoded.loads.size() -
                               decoded.rate_limits.size());
}

TEST_CASE("calls to ranks and their replies keep their values") {
  RankCall call{7, 2, balance::PrepareMap{28673, balance::SharedLayerMap({{{0, 2}, {1, 0}}})},
                true};
  CHECK(DecodeRankCall(Encode(call)) == call);
  call.order = balance::ArmMap{28673, 812};
  call.engine = core::Endpoint{"10.1.0.43", 8228};
  CHECK(DecodeRankCall(Encode(call)) == call);
  call.engine.reset();
  call.group = core::GroupId("g0-2");
  call.known_map = 28673;
  call.forward_to = {{"10.1.0.44", 8228}, {"10.1.0.45", 8228}};
  call.forward_time = std::chrono::milliseconds(120);
  call.hop_time = std::chrono::milliseconds(25);
  call.map_delta = balance::MapDelta{7, 8, {{0, 3, {1, 2}}, {9, 191, {}}}};
  CHECK(DecodeRankCall(Encode(call)) == call);
  RankReply reply;
  reply.result = balance::OrderResult::kRefused;
  reply.report.emplace();
  reply.report->group = core::GroupId("g");
  reply.report->rank = 3;
  reply.report->state.armed = balance::ArmedMap{28673, 812};
  reply.report->state.experts = {{0, 2}, {5}};
  reply.expert_counts = {1, 65535, 0, 1'000'000};
  reply.forwarded = {{{"10.1.0.44", 8228}, balance::OrderResult::kDone, reply.report},
                     {{"10.1.0.45", 8228}, balance::OrderResult::kRefused, std::nullopt, true}};
  CHECK(DecodeRankReply(Encode(reply)) == reply);
}

// Load pattern: a switch of the map in a group of many ranks on slow links.
TEST_CASE("the map of a large group takes little more than a byte for each place") {
  constexpr std::size_t kRanks = 72, kSets = 12, kPlaces = 3, kExperts = 144;
  balance::LayerMap map(kSets, std::vector<std::vector<std::uint16_t>>(kRanks));
  for (auto& set : map) {
    for (std::size_t rank = 0; rank < kRanks; ++rank) {
      for (std::size_t place = 0; place < kPlaces; ++place) {
        set[rank].push_back(static_cast<std::uint16_t>((rank * 2 + place * 50) % kExperts));
      }
    }
  }
  const RankCall call{7, 2, balance::PrepareMap{28673, balance::SharedLayerMap(map)}};
  CHECK(DecodeRankCall(Encode(call)) == call);
  // 72 copies have to pass a link of 1 MB/s within 0.3 s.
  CHECK(Encode(call).size() <= 300'000 / kRanks);
}

TEST_CASE("numbers of lists keep their value up to the largest") {
  balance::LayerMap map = {{{0, 127, 128, 16'383, 16'384, 65'535}}};
  const RankCall call{7, 2, balance::PrepareMap{1, balance::SharedLayerMap(map)}};
  CHECK(DecodeRankCall(Encode(call)) == call);
}

TEST_CASE("cut or changed messages are refused or decoded, never more") {
  CHECK(rc::check([] {
    std::string bytes = Encode(Sample());
    bytes.resize(*rc::gen::inRange<std::size_t>(0, bytes.size() + 1));
    if (!bytes.empty()) {
      bytes[*rc::gen::inRange<std::size_t>(0, bytes.size())] = *rc::gen::arbitrary<char>();
    }
    const auto decode = [&](auto function) {
      try {
        function(bytes);
      } catch (const core::Error&) {
      }
    };
    decode(DecodePeerStatus);
    decode(DecodeItemsTransfer);
    decode(DecodeRankCall);
    decode(DecodeRankReply);
  }));
}

TEST_CASE("bytes after a message make it malformed") {
  CHECK_THROWS_AS(DecodePeerStatus(Encode(Sample()) + 'x'), MalformedMessage);
  CHECK_THROWS_AS(DecodeItemsTransfer(Encode(ItemsTransfer{}) + 'x'), MalformedMessage);
  CHECK_THROWS_AS(DecodeRankCall(Encode(RankCall{}) + 'x'), MalformedMessage);
  CHECK_THROWS_AS(DecodeRankReply(Encode(RankReply{}) + 'x'), MalformedMessage);
}

}  // namespace cornelrelay::wire
