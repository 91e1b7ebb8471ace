#include "cornelrelay/request/sse_parser.h"

#include <cassert>
#include <string>
#include <utility>

#include "cornelrelay/request/sse_event_too_large.h"

namespace cornelrelay::request {

namespace {

constexpr std::string_view kByteOrderMark = "\xEF\xBB\xBF";

}  // namespace

SseEventTooLarge::SseEventTooLarge(std::size_t limit)
    : Error("sse_event_too_large",
            "a server-sent event exceeds the limit of " + std::to_string(limit) + " bytes") {}

SseParser::SseParser(std::size_t max_event_bytes) : m_max_event_bytes(max_event_bytes) {
  assert(max_event_bytes > 0);
}

void SseParser::Feed(std::string_view bytes) {
  for (const char c : bytes) {
    if (m_overflow) return;
    ConsumeByte(c);
  }
}

void SseParser::ConsumeByte(char c) {
  if (std::exchange(m_after_carriage_return, false) && c == '\n') return;
  if (c == '\n' || c == '\r') {
    m_after_carriage_return = c == '\r';
    FinishLine();
    return;
  }
  if (++m_event_bytes > m_max_event_bytes) {
    m_overflow = true;
    m_line.clear();
    m_event = {};
    return;
  }
  m_line.push_back(c);
}

void SseParser::FinishLine() {
  std::string_view line = m_line;
  if (std::exchange(m_at_stream_start, false) && line.starts_with(kByteOrderMark)) {
    line.remove_prefix(kByteOrderMark.size());
  }
  if (line.empty()) {
    m_line.clear();
    FinishEvent();
    return;
  }
  // Counts one byte for the line end, so that a run of short lines reaches the limit as well.
  ++m_event_bytes;
  const auto colon = line.find(':');
  const std::string_view field = line.substr(0, colon);
  std::string_view value =
      colon == std::string_view::npos ? std::string_view() : line.substr(colon + 1);
  if (value.starts_with(' ')) value.remove_prefix(1);
  if (field == "data") {
    if (std::exchange(m_has_data, true)) m_event.data.push_back('\n');
    m_event.data.append(value);
  } else if (field == "event") {
    m_event.event = value;
  } else if (field == "id" && value.find('\0') == std::string_view::npos) {
    m_event.id = value;
  }
  m_line.clear();
}

void SseParser::FinishEvent() {
  if (m_has_data) m_complete_events.push_back(std::move(m_event));
  m_event = {};
  m_has_data = false;
  m_event_bytes = 0;
}

std::optional<SseEvent> SseParser::Next() {
  if (m_complete_events.empty()) {
    if (m_overflow) throw SseEventTooLarge(m_max_event_bytes);
    return std::nullopt;
  }
  SseEvent event = std::move(m_complete_events.front());
  m_complete_events.pop_front();
  return event;
}

}  // namespace cornelrelay::request
