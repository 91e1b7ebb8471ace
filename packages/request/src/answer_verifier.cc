#include "cornelrelay/request/answer_verifier.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <string>

namespace cornelrelay::request {

StreamVerdict CheckModelAnswer(const core::AttemptId& attempt,
                               std::optional<std::uint64_t> content_length, std::string_view body,
                               InjectedFault fault) {
  if (content_length && body.size() < *content_length) return Truncated{};
  if (content_length && body.size() > *content_length) {
    return Malformed{"the body is longer than its Content-Length"};
  }
  const auto answer = nlohmann::json::parse(body, nullptr, false);
  if (!answer.is_object()) return Malformed{"the body is not a JSON object"};
  const auto id = answer.find("id");
  if (id == answer.end() || !id->is_string()) return Malformed{"the answer has no id"};
  const auto& text = id->get_ref<const std::string&>();
  if (text != attempt.value() && fault != InjectedFault::kSkipStreamIdCheck) return Foreign{text};
  const auto choices = answer.find("choices");
  if (choices == answer.end() || !choices->is_array() || choices->empty()) {
    return Malformed{"the answer has no choices"};
  }
  const bool finished = std::all_of(choices->begin(), choices->end(), [](const auto& choice) {
    return choice.is_object() && choice.contains("finish_reason") &&
           !choice["finish_reason"].is_null();
  });
  if (!finished) return Truncated{};
  return End{};
}

StreamVerdict CheckPlainAnswer(const core::AttemptId& attempt,
                               std::optional<std::uint64_t> content_length,
                               std::uint64_t received_length,
                               std::optional<std::string_view> echoed_id, InjectedFault fault) {
  if (echoed_id && *echoed_id != attempt.value() && fault != InjectedFault::kSkipStreamIdCheck) {
    return Foreign{std::string(*echoed_id)};
  }
  if (content_length && received_length < *content_length) return Truncated{};
  if (content_length && received_length > *content_length) {
    return Malformed{"the body is longer than its Content-Length"};
  }
  return End{};
}

}  // namespace cornelrelay::request
