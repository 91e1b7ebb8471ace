#pragma once

#include <deque>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "cornelrelay/request/request_action.h"
#include "cornelrelay/request/sse_event.h"
#include "tape.h"

namespace cornelrelay::request {

inline std::string ChunkJson(const std::string& id, const std::string& content, bool last) {
  const nlohmann::json finish = last ? nlohmann::json("stop") : nlohmann::json(nullptr);
  return nlohmann::json{
      {"id", id},
      {"choices", {{{"index", 0}, {"delta", {{"content", content}}}, {"finish_reason", finish}}}}}
      .dump();
}

inline std::string ContentOf(const std::string& payload) {
  return nlohmann::json::parse(payload)["choices"][0]["delta"]["content"];
}

/// \brief The event stream of one attempt after lost, doubled, reordered, cut and swapped events.
inline std::deque<SseEvent> FaultyStream(const OpenAttempt& open, std::size_t length, Tape& tape) {
  std::vector<SseEvent> events;
  for (std::size_t k = open.resume_after.sequence + 1; k <= length; ++k) {
    const auto number = std::to_string(k);
    events.push_back({"", number, ChunkJson(open.attempt.value(), "own-" + number, k == length)});
  }
  events.push_back({"", "", "[DONE]"});
  std::deque<SseEvent> out;
  for (std::size_t i = 0; i < events.size(); ++i) {
    switch (tape.Below(16)) {
      case 11:  // lost
        break;
      case 12:
        out.insert(out.end(), 2, events[i]);
        break;
      case 13:
        if (i + 1 < events.size()) std::swap(events[i], events[i + 1]);
        out.push_back(events[i]);
        break;
      case 14:  // cut
        return out;
      case 15:  // swapped with the same event of another request
        out.push_back({"", events[i].id, ChunkJson("other-1", "other", i + 2 == events.size())});
        break;
      default:
        out.push_back(events[i]);
    }
  }
  return out;
}

/// \brief A whole answer that can be cut, without its finish_reason, or another request's.
struct WholeAnswer {
  std::string body;
  std::size_t announced_length = 0;
};
inline WholeAnswer FaultyAnswer(const core::AttemptId& attempt, Tape& tape) {
  WholeAnswer answer{ChunkJson(attempt.value(), "own-1", true), 0};
  const std::size_t choice = tape.Below(8);
  if (choice == 5) answer.body = ChunkJson(attempt.value(), "own-1", false);
  if (choice == 6) answer.body = ChunkJson("other-1", "other", true);
  answer.announced_length = answer.body.size();
  if (choice == 7) answer.body.resize(tape.Below(answer.body.size()));
  return answer;
}

}  // namespace cornelrelay::request
