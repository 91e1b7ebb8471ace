#include "cornelrelay/store/store_http_codec.h"

#include <nlohmann/json.hpp>

#include "cornelrelay/core/overloaded.h"
#include "cornelrelay/store/base64.h"
#include "cornelrelay/store/malformed_store_message.h"
#include "cornelrelay/store/unsupported_store_request.h"
#include "gateway_json.h"

namespace cornelrelay::store {
namespace {

using internal::Integer;
using internal::Member;
using nlohmann::json;

std::int64_t WholeSeconds(core::Duration duration) {
  // Rounded up: a lease must not end before the time that its holder asked for.
  return std::chrono::ceil<std::chrono::seconds>(duration).count();
}

json SwapBody(const CompareAndSwap& swap) {
  const std::string key = EncodeBase64(swap.key);
  json put = {{"key", key}, {"value", EncodeBase64(swap.value)}};
  if (swap.lease != 0) put["lease"] = std::to_string(swap.lease);
  return {{"compare", json::array({{{"key", key},
                                    {"target", "MOD"},
                                    {"result", "EQUAL"},
                                    {"modRevision", std::to_string(swap.expected)}}})},
          {"success", json::array({{{"requestPut", std::move(put)}}})},
          {"failure", json::array({{{"requestRange", {{"key", key}}}}})}};
}

StoreReply SwapReply(const json& answer) {
  const json& responses = Member(answer, "responses", "responses");
  const json first = responses.is_array() && !responses.empty() ? responses.front() : json();
  if (answer.value("succeeded", false)) {
    const json& put = Member(first, "response_put", "responsePut");
    StoreRevision revision = Integer(Member(put, "header", "header"), "revision", "revision");
    if (revision == 0) {
      revision = Integer(Member(answer, "header", "header"), "revision", "revision");
    }
    if (revision <= 0) throw MalformedStoreMessage("a write has no revision");
    return Swapped{revision};
  }
  const json& range = Member(first, "response_range", "responseRange");
  if (!range.is_object()) throw MalformedStoreMessage("a failed swap has no current value");
  return NotSwapped{internal::FirstValue(range)};
}

StoreReply LeaseReply(LeaseNumber lease, const json& answer) {
  const std::int64_t ttl = Integer(answer, "TTL", "TTL");
  if (lease == 0) lease = Integer(answer, "ID", "ID");
  if (lease == 0) throw MalformedStoreMessage("a lease has no number");
  if (ttl <= 0) return LeaseExpired{lease};
  return LeaseGranted{lease, std::chrono::seconds(ttl)};
}

/// \brief True for statuses that a gateway gives before it passes a request on.
bool IsRefusal(int status) {
  return status == 400 || status == 401 || status == 403 || status == 404 || status == 405 ||
         status == 413;
}

StoreReply ErrorReply(const StoreRequest& request, int status, std::string_view body) {
  const json error = json::parse(body, nullptr, false);
  const bool typed = error.is_object() && error.contains("code") && error["code"].is_number();
  const int code = typed ? error["code"].get<int>() : 0;
  if (status == 429 || code == internal::kCodeResourceExhausted) return RefusedForRate{};
  if (status == 404 || code == internal::kCodeNotFound) {
    if (const auto* r = std::get_if<LeaseKeepAlive>(&request)) return LeaseExpired{r->lease};
    if (const auto* r = std::get_if<LeaseRevoke>(&request)) return LeaseExpired{r->lease};
    const auto* swap = std::get_if<CompareAndSwap>(&request);
    if (swap != nullptr && swap->lease != 0) return LeaseExpired{swap->lease};
  }
  const bool writes = std::holds_alternative<CompareAndSwap>(request) ||
                      std::holds_alternative<LeaseGrant>(request) ||
                      std::holds_alternative<LeaseRevoke>(request);
  if (writes && !IsRefusal(status)) return TimedOut{};
  return Unavailable{};
}

}  // namespace

StoreHttpRequest StoreHttpCodec::ToHttp(const StoreRequest& request) const {
  const auto lease_body = [](LeaseNumber lease) {
    return json{{"ID", std::to_string(lease)}}.dump();
  };
  return std::visit(
      core::Overloaded{
          [](const Get& r) -> StoreHttpRequest {
            return {internal::kRangePath, json{{"key", EncodeBase64(r.key)}}.dump()};
          },
          [](const CompareAndSwap& r) -> StoreHttpRequest {
            return {internal::kTxnPath, SwapBody(r).dump()};
          },
          [](const LeaseGrant& r) -> StoreHttpRequest {
            return {internal::kGrantPath,
                    json{{"TTL", std::to_string(WholeSeconds(r.ttl))}, {"ID", "0"}}.dump()};
          },
          [&](const LeaseKeepAlive& r) -> StoreHttpRequest {
            return {internal::kKeepAlivePath, lease_body(r.lease)};
          },
          [&](const LeaseRevoke& r) -> StoreHttpRequest {
            return {internal::kRevokePath, lease_body(r.lease)};
          },
          [](const Watch& r) -> StoreHttpRequest {
            const json create = {{"key", EncodeBase64(r.key)},
                                 {"startRevision", std::to_string(r.after + 1)}};
            return {internal::kWatchPath, json{{"createRequest", create}}.dump()};
          },
          [&](const auto&) -> StoreHttpRequest { throw UnsupportedStoreRequest(request); }},
      request);
}

StoreReply StoreHttpCodec::FromHttp(const StoreRequest& request, int status,
                                    std::string_view body) const {
  if (status != 200) return ErrorReply(request, status, body);
  try {
    if (const auto* watch = std::get_if<Watch>(&request)) {
      while (!body.empty()) {
        const auto end = std::min(body.find('\n'), body.size());
        if (auto reply = FromWatchLine(*watch, body.substr(0, end))) return *reply;
        body.remove_prefix(std::min(end + 1, body.size()));
      }
      return TimedOut{};
    }
    const json answer = json::parse(body);
    if (!answer.is_object()) throw MalformedStoreMessage("the answer is no object");
    return std::visit(
        core::Overloaded{
            [&](const Get&) -> StoreReply { return ValueRead{internal::FirstValue(answer)}; },
            [&](const CompareAndSwap&) { return SwapReply(answer); },
            [&](const LeaseGrant&) { return LeaseReply(0, answer); },
            [&](const LeaseKeepAlive& r) {
              return LeaseReply(r.lease, Member(answer, "result", "result"));
            },
            [](const LeaseRevoke& r) -> StoreReply { return LeaseExpired{r.lease}; },
            [](const auto&) -> StoreReply { return TimedOut{}; }},
        request);
  } catch (const json::exception&) {
    return TimedOut{};
  } catch (const MalformedStoreMessage&) {
    return TimedOut{};
  }
}

std::optional<StoreReply> StoreHttpCodec::FromWatchLine(const Watch& watch,
                                                        std::string_view line) const {
  try {
    if (line.find_first_not_of(" \r\n") == std::string_view::npos) return std::nullopt;
    const json parsed = json::parse(line);
    const json& result = Member(parsed, "result", "result");
    // A cancelled watch (its start revision is compacted away) needs a fresh read.
    if (!result.is_object() || result.value("canceled", false)) return Unavailable{};
    const json& events = Member(result, "events", "events");
    if (!events.is_array() || events.empty()) return std::nullopt;
    const json& event = events.back();
    const json& pair = Member(event, "kv", "kv");
    const StoredValue stored = internal::ValueOf(pair);
    const bool deleted = event.value("type", "PUT") == "DELETE";
    return WatchEvent{watch.key, deleted ? std::nullopt : std::optional(stored), stored.revision};
  } catch (const json::exception&) {
    return TimedOut{};
  } catch (const MalformedStoreMessage&) {
    return TimedOut{};
  }
}

}  // namespace cornelrelay::store
