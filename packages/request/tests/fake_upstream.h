#pragma once

#include <deque>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "choice_sequence.h"
#include "cornelrelay/request/request_action.h"
#include "cornelrelay/request/sse_event.h"

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

/// \brief Event stream of one attempt, in which `choices` can drop, duplicate or reorder an event,
/// truncate the stream, or replace an event by one of another request.
inline std::deque<SseEvent> FaultyStream(const OpenAttempt& open, std::size_t length,
                                         ChoiceSequence& choices) {
  std::vector<SseEvent> events;
  for (std::size_t k = open.resume_after.sequence.value_or(0) + 1; k <= length; ++k) {
    const auto number = std::to_string(k);
    events.push_back({"", number, ChunkJson(open.attempt.value(), "own-" + number, k == length)});
  }
  events.push_back({"", "", "[DONE]"});
  std::deque<SseEvent> out;
  for (std::size_t i = 0; i < events.size(); ++i) {
    switch (choices.Below(16)) {
      case 11:  // dropped
        break;
      case 12:  // duplicated
        out.insert(out.end(), 2, events[i]);
        break;
      case 13:  // reordered
        if (i + 1 < events.size()) std::swap(events[i], events[i + 1]);
        out.push_back(events[i]);
        break;
      case 14:  // truncated
        return out;
      case 15:  // replaced by the same event of another request
        out.push_back({"", events[i].id, ChunkJson("other-1", "other", i + 2 == events.size())});
        break;
      default:
        out.push_back(events[i]);
    }
  }
  return out;
}

/// \brief A non-streamed answer and the length in its Content-Length header.
struct WholeAnswer {
  std::string body;
  std::size_t content_length = 0;
};
/// \brief Answer to one attempt. `choices` can truncate it, omit its finish_reason, or replace it
/// by the answer to another request.
inline WholeAnswer FaultyAnswer(const core::AttemptId& attempt, ChoiceSequence& choices) {
  WholeAnswer answer{ChunkJson(attempt.value(), "own-1", true), 0};
  const std::size_t choice = choices.Below(8);
  if (choice == 5) answer.body = ChunkJson(attempt.value(), "own-1", false);
  if (choice == 6) answer.body = ChunkJson("other-1", "other", true);
  answer.content_length = answer.body.size();
  if (choice == 7) answer.body.resize(choices.Below(answer.body.size()));
  return answer;
}

}  // namespace cornelrelay::request
