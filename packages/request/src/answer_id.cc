#include "cornelrelay/request/answer_id.h"

#include <nlohmann/json.hpp>

namespace cornelrelay::request {

std::string ReplaceAnswerId(std::string payload, const core::AttemptId& attempt,
                            const core::RequestId& request) {
  // Quotes inside JSON strings are escaped, so a match that includes its quotes is a whole string.
  // If there is only one match, it is the verified id. This avoids a second parse of nearly every
  // chunk.
  const std::string quoted = '"' + attempt.value() + '"';
  const auto first = payload.find(quoted);
  const bool single = first != std::string::npos &&
                      payload.find(quoted, first + quoted.size() - 1) == std::string::npos;
  if (single) {
    return payload.replace(first, quoted.size(), nlohmann::json(request.value()).dump());
  }
  auto answer = nlohmann::ordered_json::parse(payload);
  answer["id"] = request.value();
  return answer.dump();
}

}  // namespace cornelrelay::request
