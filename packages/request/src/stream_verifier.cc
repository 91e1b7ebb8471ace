#include "cornelrelay/request/stream_verifier.h"

#include <charconv>
#include <nlohmann/json.hpp>
#include <optional>
#include <utility>

namespace cornelrelay::request {

namespace {

constexpr std::string_view kDone = "[DONE]";
constexpr std::uint64_t kFirstSequence = 1;

std::optional<std::uint64_t> ParseSequence(const std::string& text) {
  std::uint64_t value = 0;
  const char* end = text.data() + text.size();
  const auto [rest, status] = std::from_chars(text.data(), end, value);
  if (status != std::errc() || rest != end || value < kFirstSequence) return std::nullopt;
  return value;
}

bool HasFinishReason(const nlohmann::json& choice) {
  const auto reason = choice.find("finish_reason");
  return reason != choice.end() && !reason->is_null();
}

void UpdateChoices(const nlohmann::json& chunk, StreamPosition& position) {
  const auto choices = chunk.find("choices");
  if (choices == chunk.end() || !choices->is_array()) return;
  for (const auto& choice : *choices) {
    if (!choice.is_object()) continue;
    const auto field = choice.find("index");
    const std::int64_t index =
        field != choice.end() && field->is_number_integer() ? field->get<std::int64_t>() : 0;
    if (HasFinishReason(choice)) {
      position.unfinished.erase(index);
      position.finished.insert(index);
    } else if (!position.finished.contains(index)) {
      position.unfinished.insert(index);
    }
  }
}

}  // namespace

StreamVerifier::StreamVerifier(core::AttemptId attempt, StreamPosition resume_after,
                               InjectedFault fault)
    : m_attempt(std::move(attempt)), m_position(std::move(resume_after)), m_fault(fault) {}

StreamVerdict StreamVerifier::Check(const SseEvent& event) {
  if (m_ended) return Malformed{"the stream continues after [DONE]"};
  if (event.data == kDone) return CheckDone(event);
  const auto chunk = nlohmann::json::parse(event.data, nullptr, false);
  if (!chunk.is_object()) return Malformed{"the data is not a JSON object"};
  const auto id = chunk.find("id");
  if (id == chunk.end() || !id->is_string()) return Malformed{"the chunk has no id"};
  const auto& text = id->get_ref<const std::string&>();
  if (text != m_attempt.value() && m_fault != InjectedFault::kSkipStreamIdCheck) {
    return Foreign{text};
  }
  const auto sequence = ParseSequence(event.id);
  if (!sequence) return Malformed{"the event has no sequence number"};
  const std::uint64_t expected = NextSequence();
  if (*sequence < expected && m_accepted_any) return Duplicate{*sequence};
  const bool accept_gap = m_fault == InjectedFault::kAcceptGaps && *sequence > expected;
  if (*sequence != expected && !accept_gap) return Gap{expected, *sequence};
  m_accepted_any = true;
  m_position.sequence = *sequence;
  UpdateChoices(chunk, m_position);
  return Accepted{m_position};
}

std::uint64_t StreamVerifier::NextSequence() const {
  return m_position.sequence ? *m_position.sequence + 1 : kFirstSequence;
}

StreamVerdict StreamVerifier::CheckDone(const SseEvent& event) {
  const auto sequence = ParseSequence(event.id);
  const bool accept_gap = m_fault == InjectedFault::kAcceptGaps;
  if (sequence && *sequence != NextSequence() && !accept_gap) {
    return Gap{NextSequence(), *sequence};
  }
  if (!m_position.AllFinished() && m_fault != InjectedFault::kEndWithoutFinish) {
    return Truncated{m_position.sequence};
  }
  m_ended = true;
  return End{};
}

StreamVerdict StreamVerifier::Close() const {
  if (m_ended) return End{};
  return Truncated{m_position.sequence};
}

}  // namespace cornelrelay::request
