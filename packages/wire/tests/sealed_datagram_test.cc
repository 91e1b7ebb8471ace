#include "cornelrelay/wire/sealed_datagram.h"

#include <rapidcheck.h>

#include <catch2/catch.hpp>
#include <set>

#include "cornelrelay/gossip/message_size.h"
#include "cornelrelay/wire/forged_datagram.h"
#include "cornelrelay/wire/malformed_message.h"
#include "cornelrelay/wire/message_too_large.h"
#include "cornelrelay/wire/replay_guard.h"
#include "cornelrelay/wire/replayed_datagram.h"
#include "cornelrelay/wire/stale_incarnation.h"
#include "cornelrelay/wire/weak_key.h"
#include "message_generator.h"

namespace cornelrelay::wire::testing {
namespace {

const MacKey kKey("0123456789abcdef");

// Guards against a datagram that was changed, cut or made with another key being accepted.
TEST_CASE("only unchanged datagrams with the right key open") {
  CHECK(rc::check([] {
    const SealedDatagram datagram{core::HostId(AnyText(kMaxSenderId)), Any<std::uint64_t>(),
                                  Any<std::uint64_t>(), AnyText(200)};
    const std::string bytes = Seal(datagram, kKey);
    // The last byte of the gossip package's figure is the mark at the start of a payload.
    RC_ASSERT(bytes.size() + 1 == datagram.payload.size() + gossip::EnvelopeBytes(datagram.sender));
    RC_ASSERT(gossip::EnvelopeBytes(datagram.sender) <= gossip::kEnvelopeBytes);
    RC_ASSERT(Open(bytes, kKey, 1200) == datagram);
    RC_ASSERT_THROWS_AS(Open(bytes, MacKey("another key 5678"), 1200), ForgedDatagram);
    std::string changed = bytes;
    changed[Below(changed.size())] ^= static_cast<char>(1U << Below(8));
    RC_ASSERT_THROWS_AS(Open(changed, kKey, 1200), ForgedDatagram);
    const std::string cut = bytes.substr(0, Below(bytes.size()));
    if (cut.size() < kMacBytes) {
      RC_ASSERT_THROWS_AS(Open(cut, kKey, 1200), MalformedMessage);
    } else {
      RC_ASSERT_THROWS_AS(Open(cut, kKey, 1200), ForgedDatagram);
    }
    RC_ASSERT_THROWS_AS(Open(bytes, kKey, bytes.size() - 1), MessageTooLarge);
  }));
  CHECK_THROWS_AS(MacKey("short"), WeakKey);
}

// Guards against a replayed datagram being accepted, and a merely reordered one being rejected.
TEST_CASE("each counter of the current incarnation is accepted once") {
  CHECK(rc::check([] {
    const core::HostId sender("h");
    ReplayGuard guard;
    std::set<std::pair<std::uint64_t, std::uint64_t>> accepted;
    std::pair<std::uint64_t, std::uint64_t> highest{0, 0};
    const auto inputs = *rc::gen::container<std::vector<std::pair<int, int>>>(
        rc::gen::pair(rc::gen::inRange(1, 4), rc::gen::inRange(0, 2000)));
    for (const auto& [incarnation, counter] : inputs) {
      const std::pair<std::uint64_t, std::uint64_t> id(incarnation, counter);
      const bool in_window =
          id.first > highest.first ||
          (id.first == highest.first && id.second + ReplayGuard::kWindow > highest.second);
      const bool expected = in_window && !accepted.contains(id);
      bool actual = true;
      try {
        guard.Accept(sender, id.first, id.second);
      } catch (const ReplayedDatagram&) {
        actual = false;
      } catch (const StaleIncarnation&) {
        actual = false;
        RC_ASSERT(id.first < highest.first);
      }
      RC_ASSERT(actual == expected);
      if (actual) accepted.insert(id);
      if (actual) highest = std::max(highest, id);
    }
  }));
}

// Guards against memory that grows with the number of senders.
TEST_CASE("the guard forgets the sender that was silent longest") {
  ReplayGuard guard(3);
  for (const char* sender : {"a", "b", "c", "a", "d"}) {
    static std::uint64_t counter = 0;
    guard.Accept(core::HostId(sender), 1, ++counter);
  }
  CHECK(guard.senders() == 3);
  CHECK_THROWS_AS(guard.Accept(core::HostId("a"), 1, 4), ReplayedDatagram);
  CHECK_NOTHROW(guard.Accept(core::HostId("b"), 1, 2));
}

}  // namespace
}  // namespace cornelrelay::wire::testing
