#include <rapidcheck.h>
#include <unistd.h>

#include <catch2/catch.hpp>
#include <filesystem>
#include <fstream>
#include <string>

#include "cornelrelay/settings/agent_settings.h"
#include "cornelrelay/settings/entry_settings.h"
#include "cornelrelay/settings/invalid_settings.h"
#include "cornelrelay/settings/relay_settings.h"

namespace cornelrelay::settings {
namespace {

const std::string kExamples = CORNELRELAY_EXAMPLES;

std::string Example(const std::string& name) {
  std::ifstream in(kExamples + '/' + name);
  return {std::istreambuf_iterator<char>(in), {}};
}

std::string Replaced(std::string text, const std::string& from, const std::string& to) {
  const auto at = text.find(from);
  REQUIRE(at != std::string::npos);
  return text.replace(at, from.size(), to);
}

std::string EntryFaults(const std::string& text) {
  try {
    ParseEntrySettings(text, "e.toml");
  } catch (const InvalidSettings& e) {
    return FormatFaults(e.faults());
  }
  return "";
}

}  // namespace

// Guards against an assertion of the TOML library that ends the process on a malformed header
// (found by the damaged files of seed 7 with 300 cases).
TEST_CASE("a malformed table header is a fault") {
  CHECK(EntryFaults("[.a]").find("e.toml:1:2:") == 0);
}

// Guards against limits of callers that are read with another unit or without their bounds.
TEST_CASE("limits of callers are read and checked") {
  const std::string rest = R"(
host_id = "relay-1"
data_centre = "a"
[listen]
callers = "127.0.0.1:1"
health = "127.0.0.1:2"
peers = "127.0.0.1:3"
metrics = "127.0.0.1:4"
[store]
endpoint = "127.0.0.1:5"
[limits]
)";
  CHECK(ParseRelaySettings(rest, "r.toml").caller_limits == CallerLimitSettings{});
  const RelaySettings settings = ParseRelaySettings(
      rest +
          "connections_per_address = 7\nhead_fields = 50\nmin_body_bytes_per_s = 100\n"
          "body_grace_s = 2.5\n",
      "r.toml");
  CHECK(settings.caller_limits ==
        CallerLimitSettings{7, 50, 100, std::chrono::milliseconds(2'500)});
  CHECK_THROWS_AS(ParseRelaySettings(rest + "head_fields = -1\n", "r.toml"), InvalidSettings);
  CHECK_THROWS_AS(ParseRelaySettings(rest + "min_body_bytes_per_s = -1\n", "r.toml"),
                  InvalidSettings);
}

// Guards against example files that the binaries refuse or read in another way than they say.
TEST_CASE("the example files are valid") {
  const EntrySettings entry = LoadEntrySettings(kExamples + "/entry.toml");
  CHECK(entry.common.host == core::HostId("entry-1"));
  CHECK(entry.common.peers.size() == 2);
  CHECK(entry.common.control_key.bytes().size() == 32);
  CHECK_FALSE(entry.common.seed);
  CHECK(entry.operator_credential.Matches("example-operator-credential"));
  CHECK_FALSE(entry.operator_credential.Matches("example-operator-credentials"));
  REQUIRE(entry.accounts.size() == 2);
  CHECK(entry.accounts[1].api_key == CredentialDigest::Of("example-key-counter-south"));
  REQUIRE(entry.services.size() == 2);
  CHECK(entry.services[0].upstreams[0].honours_fencing);
  CHECK_FALSE(entry.services[0].upstreams[1].honours_fencing);
  CHECK(entry.services[1].kind == ServiceKind::kPlain);
  CHECK_FALSE(entry.services[1].upstreams[0].agent);
  const AgentSettings agent = LoadAgentSettings(kExamples + "/agent.toml");
  CHECK(agent.upstream_endpoint == core::Endpoint{"127.0.2.1", 9001});
  CHECK(agent.poll_interval == std::chrono::milliseconds(500));
}

// Guards against an operator having to correct a file fault by fault, and against wrong positions.
TEST_CASE("all faults are reported at once with their positions") {
  const std::string faults = EntryFaults(
      "host_id = 5\n"
      "data_centre = \"dc a\"\n"
      "colour = 1\n"
      "shutdown_limit_ms = -1\n"
      "peers = [\"localhost:1\", 3]\n"
      "[listen]\n"
      "callers = \"127.0.0.1\"\n"
      "admin = \"127.0.0.1:1\"\n"
      "control = \"127.0.0.1:1\"\n"
      "[control]\n"
      "key = \"00zz\"\n"
      "[operator]\n"
      "[limits]\n"
      "max_head_bytes = 1.5\n"
      "[[services]]\n"
      "id = \"a\"\n"
      "kind = \"other\"\n"
      "profile = \"p\"\n"
      "model = \"m\"\n");
  CHECK(faults ==
        "e.toml:1:1: platform: missing section\n"
        "e.toml:1:11: host_id: expected a string\n"
        "e.toml:2:15: data_centre: expected 1 to 64 characters from A-Z a-z 0-9 . _ -\n"
        "e.toml:3:1: colour: unknown key\n"
        "e.toml:4:21: shutdown_limit_ms: must be from 0 to 86400000\n"
        "e.toml:5:10: peers[0]: the address must be an IPv4 number\n"
        "e.toml:5:25: peers[1]: expected a string of the form address:port\n"
        "e.toml:7:11: listen.callers: expected address:port, got \"127.0.0.1\"\n"
        "e.toml:9:11: listen.control: another listener uses this endpoint\n"
        "e.toml:11:7: control.key: expected 64 to 512 hexadecimal digits\n"
        "e.toml:12:1: operator.credential: expected either credential or credential_sha256\n"
        "e.toml:14:18: limits.max_head_bytes: expected an integer\n"
        "e.toml:15:1: services[0].upstreams: missing\n"
        "e.toml:17:8: services[0].kind: expected one of model, plain\n");
}

// Guards against two meanings of one key, name or account going unnoticed.
TEST_CASE("ambiguous entries are faults") {
  const std::string text = Example("entry.toml");
  const auto faults = [&](const std::string& from, const std::string& to) {
    return EntryFaults(Replaced(text, from, to));
  };
  CHECK(faults("\"counter-south\"", "\"counter-north\"").find("has this id") != std::string::npos);
  CHECK(faults("key-counter-north\"", "key-counter-south\"").find("this API key") !=
        std::string::npos);
  CHECK(EntryFaults("[[services]]\nupstreams = []\n").find("upstreams: missing") !=
        std::string::npos);
  CHECK(faults("\"assistant-2\"", "\"assistant-1\"").find("has this id") != std::string::npos);
  CHECK(faults("\"plain\"", "\"model\"").find("required for a model service") != std::string::npos);
  CHECK(faults("# key_file = \"control.key\"", "key_file = \"x\"").find("either key or key_file") !=
        std::string::npos);
  CHECK(faults("api_key = ", "api_keys = ").find("accounts[0].api_keys: unknown key") !=
        std::string::npos);
}

// Guards against a syntax error or an unreadable file without a position.
TEST_CASE("syntax errors and unreadable files are faults") {
  CHECK(EntryFaults("a = 1\nb = = 2\n").starts_with("e.toml:2:"));
  CHECK_THROWS_AS(LoadAgentSettings("/nonexistent/agent.toml"), InvalidSettings);
}

// Guards against a crash or an exception of another type for a damaged file.
TEST_CASE("a damaged file gives settings or InvalidSettings") {
  const std::string text = Example("entry.toml");
  CHECK(rc::check([&] {
    std::string damaged = text;
    const auto edits = *rc::gen::inRange(1, 6);
    for (int i = 0; i < edits; ++i) {
      const auto at = *rc::gen::inRange<std::size_t>(0, damaged.size());
      const auto length = *rc::gen::inRange<std::size_t>(0, 12);
      damaged.replace(at, length,
                      *rc::gen::element<std::string>("", "[", "\"", "=", "\n", "0", "\x80"));
    }
    try {
      ParseEntrySettings(damaged, "e.toml");
    } catch (const InvalidSettings& e) {
      RC_ASSERT(!e.faults().empty());
    }
  }));
}

// Guards against a key file that is read from the working directory or with its line end.
TEST_CASE("a key file is read relative to the settings") {
  const auto directory =
      std::filesystem::temp_directory_path() / ("cornelrelay-settings-" + std::to_string(getpid()));
  std::filesystem::create_directories(directory);
  std::ofstream(directory / "control.key") << std::string(64, 'a') << "\n";
  const std::string inline_key =
      "key = \"000102030405060708090a0b0c0d0e0f101112131415161718191a1b1c1d1e1f\"";
  const std::string text =
      Replaced(Example("agent.toml"), inline_key, "key_file = \"control.key\"");
  const auto settings = ParseAgentSettings(text, (directory / "agent.toml").string());
  CHECK(settings.common.control_key.bytes() == std::vector<std::uint8_t>(32, 0xaa));
  CHECK_THROWS_AS(ParseAgentSettings(text, "/nonexistent/agent.toml"), InvalidSettings);
  std::filesystem::remove_all(directory);
}

}  // namespace cornelrelay::settings
