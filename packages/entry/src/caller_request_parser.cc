#include "cornelrelay/entry/caller_request_parser.h"

#include <algorithm>
#include <charconv>
#include <nlohmann/json.hpp>
#include <string_view>
#include <utility>

#include "cornelrelay/core/hash.h"
#include "cornelrelay/entry/rejected_request.h"

namespace cornelrelay::entry {
namespace {

constexpr std::string_view kBearer = "Bearer ";
constexpr std::string_view kServicesPrefix = "/services/";
constexpr std::string_view kCompletionsPath = "/v1/chat/completions";
constexpr double kBytesPerToken = 4;
constexpr double kDefaultOutputTokens = 256;
/// Conversations that share this much of their start are sent to the same replica.
constexpr std::size_t kPrefixBytes = 512;
constexpr std::size_t kMaxKeyBytes = 128;
/// Connection-level and credential fields that are never passed on.
constexpr std::string_view kDroppedHeaders[] = {
    "Authorization", "Connection",       "Host", "Content-Length", "Transfer-Encoding",
    "Keep-Alive",    "Proxy-Connection", "TE",   "Upgrade",        "Expect",
    "X-Deadline-Ms", "Last-Event-ID"};

std::optional<core::Duration> ParseDeadline(const net::HttpRequest& http) {
  const auto text = net::FindHeader(http.headers, "X-Deadline-Ms");
  if (!text) return std::nullopt;
  std::int64_t value = 0;
  const char* end = text->data() + text->size();
  const auto [rest, status] = std::from_chars(text->data(), end, value);
  constexpr std::int64_t kLongest = 86'400'000;
  if (status != std::errc() || rest != end || value < 1 || value > kLongest) {
    throw RejectedRequest(400, "invalid_deadline", "X-Deadline-Ms must be 1 to 86400000");
  }
  return std::chrono::milliseconds(value);
}

std::optional<std::string> ParseKey(const net::HttpRequest& http) {
  auto key = net::FindHeader(http.headers, "Idempotency-Key");
  if (key && (key->empty() || key->size() > kMaxKeyBytes)) {
    throw RejectedRequest(400, "invalid_key", "Idempotency-Key must have 1 to 128 characters");
  }
  return key;
}

std::string PromptOf(const nlohmann::json& body) {
  std::string prompt;
  for (const auto& message : body.at("messages")) {
    const auto& content = message.at("content");
    prompt += content.is_string() ? content.get<std::string>() : content.dump();
    prompt += '\n';
  }
  return prompt;
}

}  // namespace

CallerRequestParser::CallerRequestParser(const std::vector<settings::AccountSettings>& accounts,
                                         std::vector<settings::ServiceSettings> services) {
  for (const auto& account : accounts) m_accounts.emplace(account.api_key, account.id);
  for (auto& service : services) {
    if (service.kind == settings::ServiceKind::kModel) {
      m_models.emplace(service.model, service.id);
    } else {
      m_plain.emplace(service.id.value(), service.id);
    }
  }
}

CallerRequest CallerRequestParser::Parse(const core::RequestId& id, net::HttpRequest http) const {
  CallerRequest request;
  request.id = id;
  request.account = Authenticate(http);
  request.deadline = ParseDeadline(http);
  request.key = ParseKey(http);
  if (http.target == kCompletionsPath) {
    ParseModelCall(http, request);
  } else if (http.target.starts_with(kServicesPrefix)) {
    ParsePlainCall(http, request);
  } else {
    throw RejectedRequest(404, "unknown_path", "there is no such path");
  }
  request.upstream.method = http.method;
  request.upstream.headers = std::move(http.headers);
  for (const auto name : kDroppedHeaders) request.upstream.headers.erase(std::string(name));
  request.upstream.body = std::move(http.body);
  return request;
}

core::ClientAccountId CallerRequestParser::Authenticate(const net::HttpRequest& http) const {
  const auto header = net::FindHeader(http.headers, "Authorization");
  if (!header || !header->starts_with(kBearer)) {
    throw RejectedRequest(401, "missing_api_key", "an Authorization: Bearer header is required");
  }
  const auto digest = settings::CredentialDigest::Of(header->substr(kBearer.size()));
  const auto found = m_accounts.find(digest);
  if (found == m_accounts.end()) {
    throw RejectedRequest(401, "unknown_account", "the API key belongs to no client account");
  }
  return found->second;
}

void CallerRequestParser::ParseModelCall(const net::HttpRequest& http,
                                         CallerRequest& request) const {
  if (http.method != "POST") {
    throw RejectedRequest(405, "method_not_allowed", "chat completions take POST");
  }
  std::string model;
  std::string prompt;
  double output = kDefaultOutputTokens;
  try {
    const auto body = nlohmann::json::parse(http.body);
    model = body.at("model").get<std::string>();
    request.stream = body.value("stream", false);
    output = body.value("max_tokens", kDefaultOutputTokens);
    prompt = PromptOf(body);
  } catch (const nlohmann::json::exception&) {
    throw RejectedRequest(400, "malformed_json", "the body is not a chat completion request");
  }
  const auto found = m_models.find(model);
  if (found == m_models.end()) {
    throw RejectedRequest(404, "unknown_model", "no service answers for this model");
  }
  request.service = found->second;
  request.kind = settings::ServiceKind::kModel;
  const std::size_t prefix = std::min(prompt.size(), kPrefixBytes);
  request.prefix =
      routing::PrefixKey(std::to_string(core::Hash64(std::string_view(prompt).substr(0, prefix))));
  request.size.prompt = static_cast<double>(prompt.size()) / kBytesPerToken + 1;
  request.size.prefix = static_cast<double>(prefix) / kBytesPerToken;
  request.size.output = std::max(1.0, output);
  request.upstream.target = http.target;
}

void CallerRequestParser::ParsePlainCall(const net::HttpRequest& http,
                                         CallerRequest& request) const {
  const std::string rest = http.target.substr(kServicesPrefix.size());
  const auto end = rest.find_first_of("/?");
  const auto found = m_plain.find(rest.substr(0, end));
  if (found == m_plain.end()) {
    throw RejectedRequest(404, "unknown_service", "there is no such service");
  }
  request.service = found->second;
  request.kind = settings::ServiceKind::kPlain;
  const std::string path = end == std::string::npos ? "" : rest.substr(end);
  request.upstream.target = path.starts_with('/') ? path : '/' + path;
}

}  // namespace cornelrelay::entry
