#include <spdlog/logger.h>
#include <spdlog/sinks/ostream_sink.h>

#include <catch2/catch.hpp>
#include <limits>
#include <nlohmann/json.hpp>
#include <sstream>

#include "cornelrelay/core/ids.h"
#include "cornelrelay/telemetry/decision_log.h"
#include "cornelrelay/telemetry/json_log.h"
#include "cornelrelay/telemetry/to_json.h"

namespace cornelrelay::telemetry {
namespace {

struct Output {
  std::ostringstream text;
  JsonLog log{"entry-1", LogLevel::kInfo, std::make_shared<spdlog::sinks::ostream_sink_mt>(text)};

  std::vector<nlohmann::json> Lines() {
    std::vector<nlohmann::json> lines;
    std::istringstream in(text.str());
    for (std::string line; std::getline(in, line);) lines.push_back(nlohmann::json::parse(line));
    return lines;
  }
};

DecisionRecord Record(const std::string& request, const std::string& outcome) {
  DecisionRecord record;
  record.request = core::RequestId(request);
  record.outcome = outcome;
  return record;
}

}  // namespace

// Guards against lines that are not JSON: quotes, line ends, braces, invalid UTF-8, infinities.
TEST_CASE("each log call writes one JSON object with typed fields") {
  Output out;
  out.log.Info("request_finished", {{"request", core::RequestId("a\"b\n{}")},
                                    {"attempts", 2},
                                    {"bytes", std::size_t{7}},
                                    {"retried", true},
                                    {"share", 0.5},
                                    {"rate", std::numeric_limits<double>::infinity()},
                                    {"elapsed_us", core::Duration(1500)},
                                    {"execution", core::Execution::kNotRun},
                                    {"raw", "\xff"}});
  out.log.logger()->info("text with {} and \"quotes\"\n", 1);
  const auto lines = out.Lines();
  REQUIRE(lines.size() == 2);
  CHECK(lines[0]["event"] == "request_finished");
  CHECK(lines[0]["host"] == "entry-1");
  CHECK(lines[0]["level"] == "info");
  CHECK(lines[0]["time"].get<std::string>().size() ==
        std::string("2026-12-04T04:00:00.000Z").size());
  CHECK(lines[0]["request"] == "a\"b\n{}");
  CHECK(lines[0]["attempts"] == 2);
  CHECK(lines[0]["bytes"] == 7);
  CHECK(lines[0]["retried"] == true);
  CHECK(lines[0]["share"] == 0.5);
  CHECK(lines[0]["rate"].is_null());
  CHECK(lines[0]["elapsed_us"] == 1500);
  CHECK(lines[0]["execution"] == "not_run");
  CHECK(lines[1]["message"] == "text with 1 and \"quotes\"\n");
}

// Guards against credentials in the log.
TEST_CASE("API keys are never written") {
  Output out;
  out.log.Info("a", {{"header", "Authorization: bEARER  secret-1, x"}, {"api_key", "secret-2"}});
  out.log.Info("b", {{"Authorization", "secret-3"}, {"body", "{\"h\":\"Bearer secret-4\"}"}});
  out.log.logger()->info("Bearer secret-5 Bearer secret-6");
  CHECK(out.Lines().size() == 3);
  CHECK(out.text.str().find("secret") == std::string::npos);
  CHECK(out.Lines()[0]["header"] == "Authorization: bEARER [redacted], x");
}

// Guards against a level change that needs a restart or does not reach library messages.
TEST_CASE("the level changes at run time") {
  Output out;
  out.log.Debug("hidden");
  out.log.SetLevel(ParseLogLevel("debug").value());
  out.log.Debug("shown");
  out.log.SetLevel(LogLevel::kError);
  out.log.Warning("hidden");
  out.log.logger()->warn("hidden");
  REQUIRE(out.Lines().size() == 1);
  CHECK(out.Lines()[0]["event"] == "shown");
  CHECK(out.log.level() == LogLevel::kError);
  CHECK_FALSE(ParseLogLevel("loud"));
}

// Guards against growth without bound, a stale index after the ring wraps, and lost resends.
TEST_CASE("the decision log keeps the last records and finds all of a request") {
  DecisionLog log(3);
  for (const std::string outcome : {"1", "2", "3", "4"}) {
    log.Append(Record(outcome == "3" ? "b" : "a", outcome));
  }
  CHECK(log.size() == 3);
  CHECK(log.Find(core::RequestId("a")) ==
        std::vector<DecisionRecord>{Record("a", "4"), Record("a", "2")});
  CHECK(log.Recent(2) == std::vector<DecisionRecord>{Record("a", "4"), Record("b", "3")});
  for (int i = 0; i < 3; ++i) log.Append(Record("c", ""));
  CHECK(log.Find(core::RequestId("a")).empty());
  CHECK(log.Recent(9).size() == 3);
}

// Guards against an explanation without the reason why a replica was left out.
TEST_CASE("a decision is rendered with candidates and attempts") {
  DecisionRecord record = Record("r", "upstream_broken");
  record.candidates = {{core::UpstreamId("u1"), 0.25, ""},
                       {core::UpstreamId("u2"), std::nullopt, "leaving"}};
  record.attempts = {{core::AttemptId("r-1"), core::UpstreamId("u1"), "broken"}};
  const auto json = ToJson(record);
  CHECK(json["candidates"] ==
        nlohmann::json::parse(
            R"([{"upstream":"u1","score_seconds":0.25},{"upstream":"u2","excluded":"leaving"}])"));
  CHECK(json["attempts"][0]["result"] == "broken");
  CHECK(json["execution"] == "unknown");
}

}  // namespace cornelrelay::telemetry
