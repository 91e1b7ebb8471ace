#include "cornelrelay/store/store_http_codec.h"

#include <rapidcheck.h>

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include "cornelrelay/store/base64.h"
#include "cornelrelay/store/malformed_store_message.h"
#include "cornelrelay/store/store_http_server_codec.h"

namespace cornelrelay::store {
namespace {

using nlohmann::json;
using std::chrono::seconds;

const StoreHttpCodec kClient;
const StoreHttpServerCodec kServer;

// Guards against a request body that deviates from the gateway's published shape.
TEST_CASE("a swap is a transaction on the mod revision that reads the key on failure") {
  const auto http = kClient.ToHttp(CompareAndSwap{"foo", 5, "bar", 9});
  CHECK(http.path == "/v3/kv/txn");
  CHECK(json::parse(http.body) == json::parse(R"({
    "compare": [{"key": "Zm9v", "target": "MOD", "result": "EQUAL", "modRevision": "5"}],
    "success": [{"requestPut": {"key": "Zm9v", "value": "YmFy", "lease": "9"}}],
    "failure": [{"requestRange": {"key": "Zm9v"}}]})"));
  CHECK(json::parse(kClient.ToHttp(Watch{"foo", 7}).body) ==
        json::parse(R"({"createRequest": {"key": "Zm9v", "startRevision": "8"}})"));
}

// Guards against published answers, which leave out zero and false, being misread.
TEST_CASE("answers of the gateway are understood") {
  const CompareAndSwap swap{"foo", 5, "bar", 0};
  CHECK(kClient.FromHttp(swap, 200, R"({"header":{"revision":"12"},"succeeded":true,
      "responses":[{"response_put":{"header":{"revision":"12"}}}]})") == StoreReply(Swapped{12}));
  CHECK(kClient.FromHttp(swap, 200, R"({"header":{"revision":"12"},"responses":[
      {"response_range":{"header":{"revision":"12"},"kvs":[{"key":"Zm9v","create_revision":"2",
      "mod_revision":"13","version":"4","value":"YmF6"}],"count":"1"}}]})") ==
        StoreReply(NotSwapped{StoredValue{"baz", 13}}));
  CHECK(kClient.FromHttp(Get{"foo"}, 200, R"({"header":{"revision":"12"}})") ==
        StoreReply(ValueRead{}));
  CHECK(kClient.FromHttp(LeaseKeepAlive{7}, 200, R"({"result":{"ID":"7","header":{}}})") ==
        StoreReply(LeaseExpired{7}));
  CHECK(kClient.FromHttp(Watch{"foo", 1}, 200,
                         "{\"result\":{\"created\":true}}\n{\"result\":{\"events\":[{\"type\":"
                         "\"DELETE\",\"kv\":{\"key\":\"Zm9v\",\"mod_revision\":\"14\"}}]}}\n") ==
        StoreReply(WatchEvent{"foo", std::nullopt, 14}));
}

// Guards against a write with an unclear answer being reported as without effect.
TEST_CASE("a write with a server error or an unreadable answer has an unknown outcome") {
  const CompareAndSwap swap{"foo", 5, "bar", 0};
  for (const int status : {408, 499, 500, 502, 503, 504}) {
    CHECK(kClient.FromHttp(swap, status, "") == StoreReply(TimedOut{}));
    CHECK(kClient.FromHttp(Get{"foo"}, status, "") == StoreReply(Unavailable{}));
  }
  for (const char* body :
       {"", "{", "[]", "{}", "{\"succeeded\":true}", "{\"succeeded\":7}",
        "{\"responses\":[{\"response_range\":{\"kvs\":[{\"value\":\"?\"}]}}]}"}) {
    CHECK(kClient.FromHttp(swap, 200, body) == StoreReply(TimedOut{}));
  }
  CHECK(kClient.FromHttp(swap, 429, "") == StoreReply(RefusedForRate{}));
}

// Guards against the stand-in crashing on, or acting on, a request that it does not understand.
TEST_CASE("the server side rejects malformed requests") {
  for (const auto& [path, body, method] : std::vector<StoreHttpRequest>{
           {"/v3/kv/range", "{"},
           {"/v3/kv/range", "[]"},
           {"/v3/kv/range", R"({"key":"Zm9"})"},
           {"/v3/kv/txn", "{}"},
           {"/v3/kv/txn", R"({"compare":[{"key":"Zm9v","target":"VERSION"}]})"},
           {"/v3/lease/keepalive", R"({"ID":"x"})"},
           {"/v3/other", "{}"}}) {
    CHECK_THROWS_AS(kServer.FromHttp({path, body, method}), MalformedStoreMessage);
  }
}

// Guards against bytes that base64 or JSON changes on the way.
TEST_CASE("requests and replies survive the way through both codecs") {
  CHECK(rc::check([](const std::string& key_tail, const std::string& value) {
    const std::string key = "k" + key_tail;
    const auto revision = *rc::gen::inRange<StoreRevision>(1, 1LL << 62);
    RC_ASSERT(DecodeBase64(EncodeBase64(value)) == value);
    const std::vector<std::pair<StoreRequest, std::vector<StoreReply>>> pairs = {
        {Get{key}, {ValueRead{}, ValueRead{StoredValue{value, revision}}, Unavailable{}}},
        {CompareAndSwap{key, revision, value, revision},
         {Swapped{revision}, NotSwapped{}, NotSwapped{StoredValue{value, revision}}, TimedOut{},
          LeaseExpired{revision}, RefusedForRate{}}},
        {LeaseGrant{seconds(10)}, {LeaseGranted{revision, seconds(10)}, TimedOut{}}},
        {LeaseKeepAlive{revision}, {LeaseGranted{revision, seconds(9)}, LeaseExpired{revision}}},
        {LeaseRevoke{revision}, {LeaseExpired{revision}, TimedOut{}}},
        {Watch{key, revision},
         {WatchEvent{key, StoredValue{value, revision}, revision},
          WatchEvent{key, std::nullopt, revision}, Unavailable{}}}};
    for (const auto& [request, replies] : pairs) {
      RC_ASSERT(kServer.FromHttp(kClient.ToHttp(request)) == request);
      for (const StoreReply& reply : replies) {
        auto [status, body] = kServer.ToHttp(request, reply, revision);
        if (std::holds_alternative<Watch>(request) && status == 200) {
          body = kServer.WatchCreatedLine(revision) + body;
        }
        RC_ASSERT(kClient.FromHttp(request, status, body) == reply);
      }
    }
  }));
}

}  // namespace
}  // namespace cornelrelay::store
