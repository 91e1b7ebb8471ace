#include "gateway_json.h"

#include <charconv>

#include "cornelrelay/store/base64.h"
#include "cornelrelay/store/malformed_store_message.h"

namespace cornelrelay::store::internal {

const nlohmann::json& Member(const nlohmann::json& object, const char* snake, const char* camel) {
  static const nlohmann::json absent;
  if (!object.is_object()) return absent;
  for (const char* name : {snake, camel}) {
    const auto found = object.find(name);
    if (found != object.end()) return *found;
  }
  return absent;
}

std::int64_t Integer(const nlohmann::json& object, const char* snake, const char* camel) {
  const nlohmann::json& member = Member(object, snake, camel);
  if (member.is_null()) return 0;
  if (member.is_number_integer()) return member.get<std::int64_t>();
  const auto text = member.get<std::string>();
  std::int64_t number = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number);
  if (error != std::errc() || end != text.data() + text.size()) {
    throw MalformedStoreMessage(std::string(snake) + " is not an integer");
  }
  return number;
}

std::string Bytes(const nlohmann::json& object, const char* name) {
  const nlohmann::json& member = Member(object, name, name);
  return member.is_null() ? std::string() : DecodeBase64(member.get<std::string>());
}

std::optional<StoredValue> FirstValue(const nlohmann::json& range) {
  const nlohmann::json& pairs = Member(range, "kvs", "kvs");
  if (!pairs.is_array() || pairs.empty()) return std::nullopt;
  return ValueOf(pairs.front());
}

StoredValue ValueOf(const nlohmann::json& pair) {
  StoredValue stored{Bytes(pair, "value"), Integer(pair, "mod_revision", "modRevision")};
  if (stored.revision <= 0) throw MalformedStoreMessage("a pair has no mod_revision");
  return stored;
}

}  // namespace cornelrelay::store::internal
