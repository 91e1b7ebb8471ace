#include <rapidcheck.h>

#include <catch2/catch.hpp>

#include "cornelrelay/profile/apply_change.h"
#include "cornelrelay/profile/catalogue_codec.h"
#include "cornelrelay/profile/change_rejected.h"
#include "cornelrelay/profile/malformed_catalogue.h"
#include "generators.h"

namespace cornelrelay::profile {
namespace {

using testing::AnyEdit;
using testing::MakeProfile;
using testing::MakeRequest;
using testing::Numbered;

// Guards against bytes that lose a part of the catalogue, and against history and ids growing.
TEST_CASE("catalogues survive encoding after any sequence of changes") {
  CHECK(rc::check([](const Profile& extra) {
    Catalogue catalogue = Catalogue::Initial();
    const auto count = *rc::gen::inRange<std::uint32_t>(0, 40);
    for (std::uint32_t i = 0; i < count; ++i) {
      const Edit edit = *AnyEdit();
      try {
        const auto next = ApplyChange(catalogue, MakeRequest(Numbered("c", i), edit));
        RC_ASSERT(next.revision() == catalogue.revision() + 1);
        RC_ASSERT(next.RevisionOf(ChangeId(Numbered("c", i))) == next.revision());
        catalogue = next;
      } catch (const ChangeRejected&) {
      }
    }
    if (catalogue.Find(extra.name) == nullptr) {
      catalogue = ApplyChange(catalogue, MakeRequest("x", CreateProfile{extra}));
    }
    RC_ASSERT(DecodeCatalogue(EncodeCatalogue(catalogue)) == catalogue);
  }));
}

// Guards against malformed bytes being applied, or escaping as an untyped exception.
TEST_CASE("damaged bytes are refused with a typed error") {
  const std::string bytes = EncodeCatalogue(
      ApplyChange(Catalogue::Initial(), MakeRequest("c", CreateProfile{MakeProfile("a", 1)})));
  CHECK_THROWS_AS(DecodeCatalogue(std::string(Catalogue::kMaxBytes + 1, ' ')), MalformedCatalogue);
  CHECK(rc::check([&] {
    std::string damaged = bytes;
    const int count = *rc::gen::inRange(1, 4);
    for (int i = 0; i < count; ++i) {
      const auto at = *rc::gen::inRange<std::size_t>(0, damaged.size());
      if (*rc::gen::arbitrary<bool>()) {
        damaged.resize(at + 1);
      } else {
        damaged[at] = *rc::gen::arbitrary<char>();
      }
    }
    try {
      DecodeCatalogue(damaged);
    } catch (const MalformedCatalogue&) {
    }
  }));
}

// Guards against a service being left without a profile when its profile is retired.
TEST_CASE("a profile in use is retired only with force, and its services get the default") {
  const core::ProfileName a("a");
  const core::ServiceId orders("orders");
  Catalogue c = Catalogue::Initial();
  c = ApplyChange(c, MakeRequest("1", CreateProfile{MakeProfile("a", 1)}));
  c = ApplyChange(c, MakeRequest("2", AssignService{orders, a}));
  CHECK(c.ProfileOf(orders).name == a);
  CHECK_THROWS_AS(ApplyChange(c, MakeRequest("3", RetireProfile{a, false})), ProfileInUse);
  c = ApplyChange(c, MakeRequest("3", RetireProfile{a, true}));
  CHECK(c.ProfileOf(orders).name == core::ProfileName("default"));
  CHECK(c.content().history.back().moved_services == std::vector{orders});
  CHECK_THROWS_AS(
      ApplyChange(c, MakeRequest("4", RetireProfile{core::ProfileName("default"), true})),
      DefaultProfileInUse);
  CHECK_THROWS_AS(ApplyChange(c, MakeRequest("4", AssignService{orders, a})), UnknownProfile);
  CHECK_THROWS_AS(ApplyChange(c, MakeRequest("4", CreateProfile{MakeProfile("default", 1)})),
                  ProfileExists);
  CHECK_THROWS_AS(ApplyChange(c, MakeRequest("4", CreateProfile{MakeProfile("A b", 1)})),
                  InvalidEdit);
}

// Guards against history and change ids growing beyond their limits, or the ids being cut short.
TEST_CASE("history and change ids are bounded") {
  Catalogue c = Catalogue::Initial();
  for (std::uint32_t i = 1; i <= 300; ++i) {
    c = ApplyChange(c, MakeRequest(Numbered("c", i), ChangeProfile{MakeProfile("default", i)}));
  }
  CHECK(c.content().history.size() == Catalogue::kHistoryLimit);
  CHECK(c.RevisionOf(ChangeId("c45")) == 45);
  CHECK_FALSE(c.Contains(ChangeId("c44")));
  CHECK(c.ChangesAfter(298).size() == 2);
}

// Guards against a catalogue that the store cannot hold.
TEST_CASE("the history gives way before the catalogue exceeds the store's value size") {
  Catalogue c = Catalogue::Initial();
  Profile large = MakeProfile("p", 1);
  large.request.idempotent_calls.assign(32, {"GET", "/" + std::string(120, 'x')});
  std::uint32_t created = 0;
  try {
    for (; created < 1000; ++created) {
      large.name = core::ProfileName(Numbered("p", created));
      c = ApplyChange(c, MakeRequest(large.name.value(), CreateProfile{large}));
      if (created > 180) REQUIRE(EncodeCatalogue(c).size() <= Catalogue::kMaxBytes);
    }
  } catch (const CatalogueTooLarge&) {
  }
  CHECK(created > 180);
  CHECK(created < 1000);
  CHECK(c.content().history.size() < Catalogue::kHistoryLimit);
}

}  // namespace
}  // namespace cornelrelay::profile
