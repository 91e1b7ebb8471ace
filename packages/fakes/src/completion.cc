#include "completion.h"

#include <nlohmann/json.hpp>

#include "cornelrelay/core/hash.h"

namespace cornelrelay::fakes::internal {
namespace {

constexpr int kDefaultMaxTokens = 16;

int ToInt(const std::optional<std::string>& text) { return text ? std::atoi(text->c_str()) : 0; }

}  // namespace

Completion ParseCompletion(const net::HttpRequest& request) {
  const auto json = nlohmann::json::parse(request.body);
  Completion completion;
  completion.attempt_id = net::FindHeader(request.headers, "X-Request-Id").value_or("none");
  completion.resume_after = ToInt(net::FindHeader(request.headers, "Last-Event-ID"));
  completion.model = json.value("model", "");
  completion.max_tokens = json.value("max_tokens", kDefaultMaxTokens);
  completion.priority = json.value("priority", 0);
  completion.stream = json.value("stream", false);
  for (const auto& message : json.at("messages")) {
    completion.prompt += message.value("content", "") + "\n";
  }
  return completion;
}

std::string TokenAt(const std::string& prompt, int position) {
  const auto value = core::Hash64(prompt, static_cast<std::uint64_t>(position)) % 9000 + 1000;
  return "t" + std::to_string(value) + " ";
}

std::string ChunkJson(const std::string& id, const std::string& model, const std::string& content,
                      bool last) {
  const nlohmann::json finish = last ? nlohmann::json("stop") : nlohmann::json();
  return nlohmann::json{
      {"id", id},
      {"object", "chat.completion.chunk"},
      {"model", model},
      {"choices", {{{"index", 0}, {"delta", {{"content", content}}}, {"finish_reason", finish}}}}}
      .dump();
}

std::string WholeJson(const Completion& completion) {
  std::string content;
  for (int i = 1; i <= completion.max_tokens; ++i) content += TokenAt(completion.prompt, i);
  return nlohmann::json{{"id", completion.attempt_id},
                        {"object", "chat.completion"},
                        {"model", completion.model},
                        {"choices",
                         {{{"index", 0},
                           {"message", {{"role", "assistant"}, {"content", content}}},
                           {"finish_reason", "stop"}}}},
                        {"usage", {{"completion_tokens", completion.max_tokens}}}}
      .dump();
}

}  // namespace cornelrelay::fakes::internal
