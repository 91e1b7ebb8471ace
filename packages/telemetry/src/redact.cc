#include "cornelrelay/telemetry/redact.h"

#include <algorithm>
#include <array>
#include <cctype>

namespace cornelrelay::telemetry {

namespace {

constexpr std::string_view kScheme = "bearer ";
constexpr std::string_view kRedacted = "[redacted]";
constexpr std::array<std::string_view, 6> kSecretFields{
    "authorization", "api_key", "credential", "operator_credential", "control_key", "key"};

bool EqualIgnoringCase(char a, char b) {
  return std::tolower(static_cast<unsigned char>(a)) == std::tolower(static_cast<unsigned char>(b));
}

bool IsTokenCharacter(char c) {
  const auto u = static_cast<unsigned char>(c);
  return u > ' ' && c != '"' && c != '\'' && c != ',' && c != ';';
}

}  // namespace

std::string RedactSecrets(std::string_view text) {
  std::string out;
  auto from = text.begin();
  while (true) {
    auto at = std::search(from, text.end(), kScheme.begin(), kScheme.end(), EqualIgnoringCase);
    if (at == text.end()) break;
    at += kScheme.size();
    out.append(from, at);
    while (at != text.end() && *at == ' ') ++at;
    from = std::find_if_not(at, text.end(), IsTokenCharacter);
    if (from != at) out += kRedacted;
  }
  out.append(from, text.end());
  return out;
}

bool IsSecretField(std::string_view key) {
  return std::any_of(kSecretFields.begin(), kSecretFields.end(), [&](std::string_view secret) {
    return std::equal(key.begin(), key.end(), secret.begin(), secret.end(), EqualIgnoringCase);
  });
}

}  // namespace cornelrelay::telemetry
