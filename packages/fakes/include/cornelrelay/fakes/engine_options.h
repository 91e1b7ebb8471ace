#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>

#include "cornelrelay/core/endpoint.h"

namespace cornelrelay::fakes {

/// \brief Behaviour of a fake model engine.
struct EngineOptions {
  std::string id;
  core::Endpoint listen;
  std::size_t batch_slots = 32;
  std::chrono::microseconds prefill_per_token{100};
  std::chrono::microseconds step_time{5000};
  std::chrono::milliseconds load_lag{1000};
  std::size_t cached_prefixes = 64;
  bool honours_fencing = true;
};

}  // namespace cornelrelay::fakes
