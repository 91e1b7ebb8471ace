#pragma once

#include <string>

namespace cornelrelay::request {

/// \brief One server-sent event. Unlike in a browser, `id` is the event's own id and is empty when
/// the event has none, because sequence checks must not see an inherited id as a repetition.
struct SseEvent {
  std::string event;
  std::string id;
  std::string data;

  friend bool operator==(const SseEvent&, const SseEvent&) = default;
};

}  // namespace cornelrelay::request
