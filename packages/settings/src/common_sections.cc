#include "common_sections.h"

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <iterator>

#include "hex.h"

namespace cornelrelay::settings::internal {

namespace {

constexpr std::size_t kMinKeyBytes = 32;  // as long as the output of HMAC-SHA256
constexpr std::size_t kMaxKeyBytes = 256;
constexpr std::size_t kMinCredentialLength = 16;
constexpr std::int64_t kMaxShutdownMs = 86'400'000;
// Long enough for the longest usual stream; a shutdown ends earlier when no request is running.
constexpr std::int64_t kDefaultShutdownMs = 600'000;

// A key file holds the hexadecimal digits and may end in white space.
std::optional<std::string> KeyFileText(TableReader& table) {
  const std::string path = ReadFilePath(table, "key_file");
  std::ifstream in(path);
  if (!in) return std::nullopt;
  std::string text{std::istreambuf_iterator<char>(in), {}};
  text.erase(text.find_last_not_of(" \t\r\n") + 1);
  return text;
}

ControlKey ReadControlKey(TableReader& table) {
  const bool in_file = table.Has("key_file");
  if (in_file == table.Has("key")) {
    table.FindString("key");
    table.FindString("key_file");
    table.Fault("key", "expected either key or key_file");
    return {};
  }
  const auto text = in_file ? KeyFileText(table) : table.FindString("key");
  if (!text) return {};
  const auto bytes = ParseHex(*text);
  if (!bytes || bytes->size() < kMinKeyBytes || bytes->size() > kMaxKeyBytes) {
    table.Fault(in_file ? "key_file" : "key", "expected 64 to 512 hexadecimal digits");
    return {};
  }
  return ControlKey(*bytes);
}

}  // namespace

CommonSettings ReadCommon(TableReader& root) {
  CommonSettings common;
  common.host = core::HostId(root.Name("host_id"));
  common.data_centre = core::DataCentreId(root.Name("data_centre"));
  common.peers = root.Endpoints("peers");
  common.log_level = ReadLogLevel(root);
  const auto seed = root.FindInteger("seed", {.min = 0});
  if (seed) common.seed = static_cast<std::uint64_t>(*seed);
  common.shutdown_limit =
      root.Milliseconds("shutdown_limit_ms", {0, kMaxShutdownMs}, kDefaultShutdownMs);
  root.Section("control", Presence::kRequired,
               [&](TableReader& table) { common.control_key = ReadControlKey(table); });
  root.Section("platform", Presence::kRequired, [&](TableReader& table) {
    common.store = table.Endpoint("store");
    common.host_list = table.Endpoint("host_list");
  });
  return common;
}

void RemoveOwnPeer(CommonSettings& common) { std::erase(common.peers, common.control); }

CredentialDigest ReadCredential(TableReader& table, const std::string& key) {
  const std::string digest_key = key + "_sha256";
  const auto clear = table.FindString(key);
  const auto digest = table.FindString(digest_key);
  if (table.Has(key) == table.Has(digest_key)) {
    table.Fault(key, "expected either " + key + " or " + digest_key);
    return {};
  }
  if (clear) {
    if (clear->size() < kMinCredentialLength) table.Fault(key, "must have at least 16 characters");
    return CredentialDigest::Of(*clear);
  }
  if (!digest) return {};
  const auto bytes = ParseHex(*digest);
  CredentialDigest::Bytes value{};
  if (!bytes || bytes->size() != value.size()) {
    table.Fault(digest_key, "expected 64 hexadecimal digits");
    return {};
  }
  std::copy(bytes->begin(), bytes->end(), value.begin());
  return CredentialDigest(value);
}

LogLevel ReadLogLevel(TableReader& table) {
  return table.Choice<LogLevel>("log_level",
                                {{"trace", LogLevel::kTrace},
                                 {"debug", LogLevel::kDebug},
                                 {"info", LogLevel::kInfo},
                                 {"warning", LogLevel::kWarning},
                                 {"error", LogLevel::kError}},
                                LogLevel::kInfo);
}

ServiceKind ReadServiceKind(TableReader& table) {
  return table.Choice<ServiceKind>(
      "kind", {{"model", ServiceKind::kModel}, {"plain", ServiceKind::kPlain}});
}

std::string ReadFilePath(TableReader& table, std::string_view key) {
  const std::string name = table.String(key);
  if (name.empty()) return {};
  std::string path = (std::filesystem::path(table.file()).parent_path() / name).string();
  if (!std::ifstream(path)) table.Fault(key, "cannot read the file " + path);
  return path;
}

}  // namespace cornelrelay::settings::internal
