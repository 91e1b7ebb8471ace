#include "cornelrelay/wire/fleet_messages.h"

#include <rapidcheck.h>

#include <catch2/catch.hpp>

#include "cornelrelay/core/error.h"
#include "cornelrelay/wire/malformed_message.h"
#include "cornelrelay/wire/rank_messages.h"

namespace cornelrelay::wire {
namespace {

peers::Bulletin Sample() {
  peers::Bulletin b;
  b.host = core::HostId("entry-1");
  b.endpoint = {"10.1.0.40", 7340};
  b.incarnation = 17;
  b.sequence = 4;
  b.items_revision = 99;
  b.store_linked = true;
  b.loads = {{core::UpstreamId("i-1"), 3}, {core::UpstreamId("i-2"), 12}};
  b.queues = {{core::ServiceId("llm"), 5}};
  return b;
}

}  // namespace

TEST_CASE("bulletins and items keep their values") {
  CHECK(DecodeBulletin(Encode(Sample())) == Sample());
  const ItemsTransfer transfer{{{"op/x", std::string("\0\xff", 2), 7}, {"gone", std::nullopt, 8}},
                               9};
  CHECK(DecodeItemsTransfer(Encode(transfer)) == transfer);
}

TEST_CASE("calls to ranks and their replies keep their values") {
  RankCall call{7, 2, balance::PrepareMap{28673, {{{0, 2}, {1, 0}}}}, true};
  CHECK(DecodeRankCall(Encode(call)) == call);
  call.order = balance::ArmMap{28673, 812};
  call.engine = core::Endpoint{"10.1.0.43", 8228};
  CHECK(DecodeRankCall(Encode(call)) == call);
  RankReply reply;
  reply.result = balance::OrderResult::kRefused;
  reply.report.emplace();
  reply.report->group = core::GroupId("g");
  reply.report->rank = 3;
  reply.report->state.armed = balance::ArmedMap{28673, 812};
  reply.report->state.experts = {{0, 2}, {5}};
  reply.picks = {1, 65535, 0};
  CHECK(DecodeRankReply(Encode(reply)) == reply);
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
    decode(DecodeBulletin);
    decode(DecodeItemsTransfer);
    decode(DecodeRankCall);
    decode(DecodeRankReply);
  }));
}

TEST_CASE("bytes after a message make it malformed") {
  CHECK_THROWS_AS(DecodeBulletin(Encode(Sample()) + 'x'), MalformedMessage);
  CHECK_THROWS_AS(DecodeItemsTransfer(Encode(ItemsTransfer{}) + 'x'), MalformedMessage);
  CHECK_THROWS_AS(DecodeRankCall(Encode(RankCall{}) + 'x'), MalformedMessage);
  CHECK_THROWS_AS(DecodeRankReply(Encode(RankReply{}) + 'x'), MalformedMessage);
}

}  // namespace cornelrelay::wire
