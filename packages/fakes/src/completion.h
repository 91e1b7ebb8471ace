#pragma once

#include <cstdint>
#include <string>

#include "cornelrelay/net/http_message.h"

namespace cornelrelay::fakes::internal {

/// \brief A parsed chat-completion call.
struct Completion {
  std::string attempt_id;
  std::string model;
  std::string prompt;
  int max_tokens = 16;
  int priority = 0;
  int resume_after = 0;
  bool stream = false;
};

/// \throws nlohmann::json::exception on a malformed body
Completion ParseCompletion(const net::HttpRequest& request);

/// \brief The token at `position` (from 1) of the answer to `prompt`.
std::string TokenAt(const std::string& prompt, int position);

std::string ChunkJson(const std::string& id, const std::string& model, const std::string& content,
                      bool last);
std::string WholeJson(const Completion& completion);

}  // namespace cornelrelay::fakes::internal
