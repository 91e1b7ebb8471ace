#include <rapidcheck.h>

#include <catch2/catch.hpp>
#include <variant>

#include "cornelrelay/gossip/message_size.h"
#include "cornelrelay/wire/malformed_message.h"
#include "cornelrelay/wire/message_too_large.h"
#include "message_generator.h"

namespace cornelrelay::wire::testing {
namespace {

// Guards against a field that is lost or changed by encoding.
TEST_CASE("messages survive encoding") {
  CHECK(rc::check([] {
    const ControlMessage message = AnyMessage();
    RC_ASSERT(Decode(Encode(message)) == message);
  }));
}

// Guards against the byte budget being kept with sizes that are not those on the wire.
TEST_CASE("the gossip package's sizes are those of the encoding") {
  CHECK(rc::check([] {
    const gossip::Message messages[] = {AnyPush(), gossip::Probe{1, AnyPush()},
                                        gossip::ProbeAck{1, AnyPush()},
                                        gossip::ProbeRequest{1, core::HostId("h"), AnyPush()}};
    for (const gossip::Message& message : messages) {
      const std::string bytes =
          std::visit([](const auto& one) { return Encode(ControlMessage(one)); }, message);
      RC_ASSERT(bytes.size() == gossip::EncodedSize(message) + 1);  // cereal's byte-order mark
    }
  }));
}

/// \brief Decodes bytes that may be anything; only the typed errors may result.
bool DecodesOrFails(const std::string& bytes) {
  try {
    const ControlMessage message = Decode(bytes);
    return Decode(Encode(message)) == message;
  } catch (const MalformedMessage&) {
  } catch (const MessageTooLarge&) {
  }
  return true;
}

// Guards against crashes, huge allocations and untyped errors on hostile input.
TEST_CASE("random, truncated and changed bytes give typed errors") {
  CHECK(rc::check([] {
    std::string bytes = *rc::gen::container<std::string>(rc::gen::arbitrary<char>());
    RC_ASSERT(DecodesOrFails(bytes));
    // A valid head leads deeper into the decoder.
    bytes.insert(0, std::string("\0", 1) + static_cast<char>(Below(12)));
    RC_ASSERT(DecodesOrFails(bytes));

    const std::string valid = Encode(AnyMessage());
    for (std::size_t length = 0; length < valid.size(); ++length) {
      RC_ASSERT_THROWS_AS(Decode(valid.substr(0, length)), MalformedMessage);
    }
    RC_ASSERT_THROWS_AS(Decode(valid + "x"), MalformedMessage);
    std::string changed = valid;
    changed[Below(changed.size())] ^= static_cast<char>(1U << Below(8));
    RC_ASSERT(DecodesOrFails(changed));
  }));
}

// Guards against fields over their bound being sent, and lengths over the bound being allocated.
TEST_CASE("fields over their bound are refused") {
  CHECK_THROWS_AS(
      Encode(claims::ClaimReply{{}, claims::ClaimAnswer::kCompleted, std::string(513, 'a')}),
      MessageTooLarge);
  CHECK_THROWS_AS(Encode(CatalogueTransfer{1, std::string(kMaxCatalogue + 1, 'a')}),
                  MessageTooLarge);
  const std::string largest = Encode(CatalogueTransfer{1, std::string(kMaxCatalogue, 'a')});
  CHECK(Decode(largest).index() == 8);
  std::string lying = Encode(CatalogueTransfer{1, "abc"});
  lying[lying.size() - 6] = '\x7f';  // second byte of the length: 32 KB, within the bound
  CHECK_THROWS_AS(Decode(lying), MalformedMessage);
  lying[lying.size() - 5] = '\x7f';  // third byte: 8 MB
  CHECK_THROWS_AS(Decode(lying), MessageTooLarge);
  CHECK_THROWS_AS(Decode(std::string(kMaxMessage + 1, '\0')), MessageTooLarge);
}

}  // namespace
}  // namespace cornelrelay::wire::testing
