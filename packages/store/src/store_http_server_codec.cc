#include "cornelrelay/store/store_http_server_codec.h"

#include <nlohmann/json.hpp>

#include "cornelrelay/core/overloaded.h"
#include "cornelrelay/store/base64.h"
#include "cornelrelay/store/malformed_store_message.h"
#include "gateway_json.h"

namespace cornelrelay::store {
namespace {

using internal::Bytes;
using internal::Integer;
using internal::Member;
using nlohmann::json;

const json& First(const json& object, const char* name) {
  const json& list = Member(object, name, name);
  if (!list.is_array() || list.size() != 1) {
    throw MalformedStoreMessage(std::string(name) + " must have one entry");
  }
  return list.front();
}

CompareAndSwap SwapOf(const json& body) {
  const json& compare = First(body, "compare");
  if (compare.value("target", "") != "MOD" || compare.value("result", "EQUAL") != "EQUAL") {
    throw MalformedStoreMessage("only equality of the mod revision is served");
  }
  const json& put = Member(First(body, "success"), "request_put", "requestPut");
  CompareAndSwap swap{Bytes(compare, "key"), Integer(compare, "mod_revision", "modRevision"),
                      Bytes(put, "value"), Integer(put, "lease", "lease")};
  if (swap.key.empty() || Bytes(put, "key") != swap.key) {
    throw MalformedStoreMessage("compare and put must name the same key");
  }
  return swap;
}

StoreRequest RequestOf(const std::string& path, const json& body) {
  if (path == internal::kRangePath) return Get{Bytes(body, "key")};
  if (path == internal::kTxnPath) return SwapOf(body);
  if (path == internal::kGrantPath) {
    return LeaseGrant{std::chrono::seconds(Integer(body, "TTL", "TTL"))};
  }
  if (path == internal::kKeepAlivePath) return LeaseKeepAlive{Integer(body, "ID", "ID")};
  if (path == internal::kRevokePath) return LeaseRevoke{Integer(body, "ID", "ID")};
  if (path == internal::kWatchPath) {
    const json& create = Member(body, "create_request", "createRequest");
    const auto start = Integer(create, "start_revision", "startRevision");
    return Watch{Bytes(create, "key"), start > 0 ? start - 1 : 0};
  }
  throw MalformedStoreMessage("unknown path " + path);
}

json Header(StoreRevision revision) {
  return {{"cluster_id", "1"}, {"member_id", "1"}, {"revision", std::to_string(revision)}};
}

json Pair(const std::string& key, const StoredValue& stored) {
  return {{"key", EncodeBase64(key)},
          {"mod_revision", std::to_string(stored.revision)},
          {"value", EncodeBase64(stored.value)}};
}

json Range(const std::string& key, const std::optional<StoredValue>& current) {
  if (!current) return json::object();
  return {{"kvs", json::array({Pair(key, *current)})}, {"count", "1"}};
}

StoreHttpResponse Failure(int status, int code, const char* message) {
  return {status, json{{"error", message}, {"code", code}, {"message", message}}.dump()};
}

std::string KeyOf(const StoreRequest& request) {
  if (const auto* get = std::get_if<Get>(&request)) return get->key;
  if (const auto* swap = std::get_if<CompareAndSwap>(&request)) return swap->key;
  return {};
}

}  // namespace

StoreRequest StoreHttpServerCodec::FromHttp(const StoreHttpRequest& request) const {
  try {
    const json body = json::parse(request.body);
    if (!body.is_object()) throw MalformedStoreMessage("the body is no object");
    return RequestOf(request.path, body);
  } catch (const json::exception& e) {
    throw MalformedStoreMessage(e.what());
  }
}

StoreHttpResponse StoreHttpServerCodec::ToHttp(const StoreRequest& request, const StoreReply& reply,
                                               StoreRevision store_revision) const {
  const json header = Header(store_revision);
  const bool stream = std::holds_alternative<LeaseKeepAlive>(request);
  const auto success = [&](json body) -> StoreHttpResponse {
    body["header"] = header;
    if (stream) body = json{{"result", std::move(body)}};
    return {200, body.dump() + "\n"};
  };
  return std::visit(
      core::Overloaded{
          [&](const ValueRead& r) { return success(Range(KeyOf(request), r.current)); },
          [&](const Swapped& r) {
            const json put = {{"header", {{"revision", std::to_string(r.revision)}}}};
            return success({{"succeeded", true}, {"responses", {{{"response_put", put}}}}});
          },
          [&](const NotSwapped& r) {
            const json range = Range(KeyOf(request), r.current);
            return success({{"responses", {{{"response_range", range}}}}});
          },
          [&](const LeaseGranted& r) {
            const auto ttl = std::chrono::ceil<std::chrono::seconds>(r.ttl).count();
            return success({{"ID", std::to_string(r.lease)}, {"TTL", std::to_string(ttl)}});
          },
          [&](const LeaseExpired& r) {
            if (stream) return success({{"ID", std::to_string(r.lease)}});
            if (std::holds_alternative<LeaseRevoke>(request)) return success(json::object());
            return Failure(404, internal::kCodeNotFound, "etcdserver: requested lease not found");
          },
          [&](const WatchEvent& r) -> StoreHttpResponse {
            json event = {{"kv", Pair(r.key, r.current.value_or(StoredValue{"", r.revision}))}};
            if (!r.current) {
              event["type"] = "DELETE";
              event["kv"].erase("value");
            }
            const json result = {{"header", header}, {"events", json::array({event})}};
            return {200, json{{"result", result}}.dump() + "\n"};
          },
          [](const RefusedForRate&) {
            return Failure(429, internal::kCodeResourceExhausted, "etcdserver: too many requests");
          },
          [](const Unavailable&) {
            return Failure(503, internal::kCodeUnavailable, "etcdserver: no leader");
          },
          [](const auto&) -> StoreHttpResponse {
            // The gateway of the stand-in has no calls for prefixes.
            throw MalformedStoreMessage("a reply that no gateway call gives");
          },
          [](const TimedOut&) {
            return Failure(503, internal::kCodeUnavailable, "etcdserver: request timed out");
          }},
      reply);
}

std::string StoreHttpServerCodec::WatchCreatedLine(StoreRevision store_revision) const {
  return json{{"result", {{"header", Header(store_revision)}, {"created", true}}}}.dump() + "\n";
}

}  // namespace cornelrelay::store
