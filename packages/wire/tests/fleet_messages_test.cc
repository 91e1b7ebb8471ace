#include "cornelrelay/wire/fleet_messages.h"

#include <rapidcheck.h>

#include <catch2/catch.hpp>

#include "cornelrelay/core/error.h"

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

TEST_CASE("cut or changed messages are refused or decoded, never more") {
  CHECK(rc::check([] {
    std::string bytes = Encode(Sample());
    bytes.resize(*rc::gen::inRange<std::size_t>(0, bytes.size() + 1));
    if (!bytes.empty()) {
      bytes[*rc::gen::inRange<std::size_t>(0, bytes.size())] = *rc::gen::arbitrary<char>();
    }
    try {
      DecodeBulletin(bytes);
      DecodeItemsTransfer(bytes);
    } catch (const core::Error&) {
    }
  }));
}

}  // namespace cornelrelay::wire
