#include "cornelrelay/routes/route_table.h"

#include <catch2/catch.hpp>

namespace cornelrelay::routes {
namespace {

Route RouteOf(std::string name, std::string host, std::string prefix) {
  Route route;
  route.name = std::move(name);
  route.host = std::move(host);
  route.prefix = std::move(prefix);
  return route;
}

Configuration SampleConfiguration() {
  Configuration configuration;
  configuration.routes = {RouteOf("short", "a.example", "/x/"),
                          RouteOf("long", "a.example", "/x/y/"), RouteOf("root", "b.example", "/")};
  configuration.accounts = {{core::ClientAccountId("acme"), 2}};
  configuration.api_keys = {{"key-1", 0}};
  return configuration;
}

}  // namespace

TEST_CASE("the route with the longest matching prefix of the host is chosen") {
  const RouteTable table(SampleConfiguration());
  const auto name = [&](std::string_view host, std::string_view target) -> std::string {
    const Route* route = table.Match(host, target);
    return route ? route->name : "none";
  };
  CHECK(name("a.example", "/x/y/z") == "long");
  CHECK(name("a.example", "/x/yz") == "short");
  CHECK(name("a.example", "/x/y") == "short");
  CHECK(name("A.Example:8080", "/x/y/?q=/x/") == "long");
  CHECK(name("a.example", "/x") == "none");
  CHECK(name("a.example", "/") == "none");
  CHECK(name("b.example", "/any/thing") == "root");
  CHECK(name("c.example", "/x/y/") == "none");
  CHECK(name("a.example", "") == "none");
  CHECK(name("a.exam", "ple/x/") == "none");
}

TEST_CASE("accounts are found by their API keys") {
  const RouteTable table(SampleConfiguration());
  REQUIRE(table.FindAccount("key-1"));
  CHECK(table.FindAccount("key-1")->id == core::ClientAccountId("acme"));
  CHECK(table.FindAccount("key-2") == nullptr);
}

TEST_CASE("a split route gives each service a share in proportion to its weight") {
  Route route;
  route.services = {{core::ServiceId("new"), 10}, {core::ServiceId("old"), 90}};
  CHECK(RouteTable::ChooseService(route, 0.0) == core::ServiceId("new"));
  CHECK(RouteTable::ChooseService(route, 0.0999) == core::ServiceId("new"));
  CHECK(RouteTable::ChooseService(route, 0.1) == core::ServiceId("old"));
  CHECK(RouteTable::ChooseService(route, 0.9999) == core::ServiceId("old"));
}

}  // namespace cornelrelay::routes
