#pragma once

#include <cstdint>

#include "cornelrelay/core/time.h"

namespace cornelrelay::routes {

/// \brief Published figures of a model engine.
struct EngineModel {
  std::uint32_t slots = 1;                 ///< requests that generate at once
  std::uint32_t steps_per_pass = 1;        ///< token steps of a pass that generates
  core::Duration step_time{};              ///< of one token step without requests
  core::Duration step_time_per_request{};  ///< added to a step by each generating request
  double prompt_tokens_per_second = 0;     ///< reading speed
  std::uint32_t prompt_tokens_per_step = 0;
  std::uint64_t cache_tokens = 0;  ///< memory for prompts and answers
  core::Duration report_lag{};     ///< age of the load that the engine tells others
  double mean_prompt_tokens = 0;
  double mean_answer_tokens = 0;
  std::uint32_t expert_layer_sets = 0;     ///< sets of layers with experts; 0 without experts
  std::uint32_t experts = 0;               ///< of each set
  std::uint32_t max_experts_per_rank = 0;  ///< experts of a set that a rank holds at most
  std::uint32_t max_concurrent_expert_loads =
      0;  ///< experts of a set that a rank loads at once at most

  friend bool operator==(const EngineModel&, const EngineModel&) = default;
};

}  // namespace cornelrelay::routes
