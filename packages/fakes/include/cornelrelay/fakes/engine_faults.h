#pragma once

#include <nlohmann/json_fwd.hpp>

namespace cornelrelay::fakes {

/// \brief Faults that a test switches on in a running fake engine by `POST /faults`.
struct EngineFaults {
  double slow_factor = 1.0;  ///< multiplies prefill and step time
  int truncate_after = 0;    ///< closes the stream after this many events; 0 = off
  int foreign_id_at = 0;     ///< sends this event with another request's id; 0 = off
  int duplicate_at = 0;      ///< sends this event twice; 0 = off
  int skip_at = 0;           ///< leaves this event out; 0 = off
  int split_at = 0;          ///< sends this event in two pieces, one step apart; 0 = off
  bool stalled = false;      ///< accepts requests but sends nothing
};

EngineFaults ParseEngineFaults(const nlohmann::json& json);

}  // namespace cornelrelay::fakes
