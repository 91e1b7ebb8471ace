#pragma once

#include <cstdint>

#include "cornelrelay/core/time.h"

namespace cornelrelay::routes {

/// \brief Performance figures of a model engine, as published in the configuration.
struct EngineModel {
  std::uint32_t slots = 1;           ///< maximum number of requests that generate concurrently
  std::uint32_t steps_per_pass = 1;  ///< token steps in one generating pass
  core::Duration step_time{};        ///< fixed part of the duration of one token step
  core::Duration step_time_per_request{};  ///< added to a token step by each generating request
  double prompt_tokens_per_second = 0;     ///< rate at which prompts are read
  std::uint32_t prompt_tokens_per_step = 0;
  std::uint64_t cache_tokens = 0;          ///< memory for prompts and responses, in tokens
  core::Duration report_lag{};             ///< age of the load figures that the engine reports
  double mean_prompt_tokens = 0;           ///< mean length of a prompt
  double mean_answer_tokens = 0;           ///< mean length of a response
  std::uint32_t expert_layer_sets = 0;     ///< number of sets of expert layers; 0 without experts
  std::uint32_t experts = 0;               ///< number of experts in each set
  std::uint32_t max_experts_per_rank = 0;  ///< experts of a set that a rank can hold
  /// Maximum number of experts of a set that a new expert map may add to a rank, by the limits of
  /// the engine. The expert map planner gets it as LayoutLimits::max_new_per_rank.
  std::uint32_t max_new_experts_per_rank = 0;
  core::Duration expert_load_time{};  ///< time in which a rank loads one expert

  friend bool operator==(const EngineModel&, const EngineModel&) = default;
};

}  // namespace cornelrelay::routes
