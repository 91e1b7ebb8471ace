#pragma once

#include <cstdint>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>

#include "cornelrelay/store/store_reply.h"

namespace cornelrelay::store::internal {

inline constexpr char kRangePath[] = "/v3/kv/range";
inline constexpr char kTxnPath[] = "/v3/kv/txn";
inline constexpr char kGrantPath[] = "/v3/lease/grant";
inline constexpr char kKeepAlivePath[] = "/v3/lease/keepalive";
inline constexpr char kRevokePath[] = "/v3/lease/revoke";
inline constexpr char kWatchPath[] = "/v3/watch";

// Codes of the gateway's error bodies, as published for gRPC.
inline constexpr int kCodeInvalidArgument = 3;
inline constexpr int kCodeNotFound = 5;
inline constexpr int kCodeResourceExhausted = 8;
inline constexpr int kCodeUnavailable = 14;

/// \brief The member under either of its two published spellings; null when it is absent.
const nlohmann::json& Member(const nlohmann::json& object, const char* snake, const char* camel);

/// \brief A 64-bit integer: the gateway writes a string, and leaves out zero.
std::int64_t Integer(const nlohmann::json& object, const char* snake, const char* camel);

/// \brief A base64 member; empty when it is absent.
std::string Bytes(const nlohmann::json& object, const char* name);

/// \brief The first key-value pair of a range answer.
std::optional<StoredValue> FirstValue(const nlohmann::json& range);

StoredValue ValueOf(const nlohmann::json& pair);

}  // namespace cornelrelay::store::internal
