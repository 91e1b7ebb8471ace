#include "cornelrelay/telemetry/bounded_sink.h"

#include <fcntl.h>
#include <spdlog/logger.h>
#include <unistd.h>

#include <array>
#include <catch2/catch.hpp>
#include <string>

namespace cornelrelay::telemetry {
namespace {

/// \brief A pipe whose ends are closed at the end of the test.
struct Pipe {
  Pipe() { REQUIRE(pipe(ends.data()) == 0); }
  ~Pipe() {
    close(ends[0]);
    close(ends[1]);
  }
  std::string Read() {
    std::string text(1 << 20, '\0');
    fcntl(ends[0], F_SETFL, O_NONBLOCK);
    const ssize_t count = read(ends[0], text.data(), text.size());
    text.resize(count > 0 ? static_cast<std::size_t>(count) : 0);
    return text;
  }
  std::array<int, 2> ends{};
};

}  // namespace

TEST_CASE("a reader that takes nothing neither blocks the writer nor fills its memory") {
  Pipe pipe;
  BoundedSinkLimits limits;
  limits.lines_per_second = 1e9;
  const auto sink = std::make_shared<BoundedSink>(pipe.ends[1], limits);
  spdlog::logger logger("test", sink);
  const std::string line(1000, 'x');
  for (int i = 0; i < 2000; ++i) logger.info(line);
  CHECK(sink->dropped() > 500);
}

TEST_CASE("lines beyond the rate are dropped and counted, failures have a rate of their own") {
  Pipe pipe;
  BoundedSinkLimits limits;
  limits.lines_per_second = 5;
  limits.failure_lines_per_second = 5;
  limits.burst_seconds = 1;
  const auto sink = std::make_shared<BoundedSink>(pipe.ends[1], limits);
  spdlog::logger logger("test", sink);
  sink->set_pattern("%v");
  for (int i = 0; i < 100; ++i) logger.info("usual");
  logger.warn("failure");
  const std::string text = pipe.Read();
  CHECK(text.find("failure") != std::string::npos);
  CHECK(text.find("log_lines_dropped") != std::string::npos);
  CHECK(sink->dropped() >= 90);
}

}  // namespace cornelrelay::telemetry
