#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "cornelrelay/policybench/job.h"

namespace cornelrelay::policybench {

/// \brief Shape of one deployment's model traffic.
struct Shape {
  std::string name{};
  std::string description{};
  double base_prompt = 400;  ///< mean tokens of a conversation's first prompt
  double turn_prompt =
      100;              ///< mean tokens that each further turn adds, beside the previous answer
  double output = 150;  ///< mean tokens of an answer
  double turns = 5;     ///< mean turns of a conversation
  double think_seconds = 8;     ///< mean pause between turns
  double prefill_us = 80;       ///< per uncached prompt token
  double token_us = 25000;      ///< per output token
  double cache_tokens = 1.5e6;  ///< prefix cache of one replica
  bool morning_peak =
      false;  ///< starts rise from a third to the full rate within 40 s before the measurement
  bool drift = false;  ///< new text grows by half over the run, at constant load
};

/// \brief A morning peak, a drift over the day, and the target mix with and without shared
/// prefixes.
std::vector<Shape> Shapes();

/// \brief Mean prompt of a request, over whole conversations.
double MeanPrompt(const Shape& shape, std::uint64_t seed, double growth = 1);

/// \brief Arrivals over `duration` such that full prompts use `load` of `replicas` prefill lanes.
std::vector<Job> MakeJobs(const Shape& shape, std::uint64_t seed, core::Duration duration,
                          std::size_t replicas, double load);

}  // namespace cornelrelay::policybench
