#include <catch2/catch.hpp>
#include <set>
#include <string>

#include "cornelrelay/core/endpoint.h"
#include "cornelrelay/core/hash.h"
#include "cornelrelay/core/invalid_endpoint.h"
#include "cornelrelay/core/random.h"

namespace cornelrelay::core {
namespace {

// Guards against an endpoint with a missing, zero or trailing-garbage port being accepted.
TEST_CASE("endpoints are parsed strictly") {
  CHECK(ParseEndpoint("127.0.1.1:8080") == Endpoint{"127.0.1.1", 8080});
  for (const std::string text :
       {"", ":80", "127.0.0.1", "127.0.0.1:", "127.0.0.1:0", "a:8x", "a:70000"}) {
    CHECK_THROWS_AS(ParseEndpoint(text), InvalidEndpoint);
  }
}

// Guards against a removed node changing the owner of keys that it did not own.
TEST_CASE("rendezvous hashing moves only the keys of a removed node") {
  const auto owner = [](const std::string& key, const std::set<std::string>& nodes) {
    std::string best;
    for (const auto& node : nodes) {
      if (best.empty() || RendezvousScore(key, node) > RendezvousScore(key, best)) best = node;
    }
    return best;
  };
  const std::set<std::string> all{"a", "b", "c", "d"};
  std::set<std::string> fewer = all;
  fewer.erase("c");
  for (int i = 0; i < 200; ++i) {
    const std::string key = "key" + std::to_string(i);
    if (owner(key, all) != "c") CHECK(owner(key, fewer) == owner(key, all));
  }
}

// Guards against a generator whose sequence depends on anything but its seed.
TEST_CASE("random sequences depend on the seed alone") {
  Random a(7);
  Random b(7);
  for (int i = 0; i < 100; ++i) CHECK(a() == b());
  CHECK(Random(1)() != Random(2)());
  for (int i = 0; i < 100; ++i) CHECK(a.Below(3) < 3);
}

}  // namespace
}  // namespace cornelrelay::core
