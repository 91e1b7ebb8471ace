#pragma once

#include <string>

namespace cornelrelay::request {

/// \brief One server-sent event. `id` is empty if the event has no `id` field. Browsers carry the
/// last id over to later events, but here a sequence check would take a carried-over id for a
/// duplicate.
struct SseEvent {
  std::string event;
  std::string id;
  std::string data;

  friend bool operator==(const SseEvent&, const SseEvent&) = default;
};

}  // namespace cornelrelay::request
