#pragma once

#include <cstddef>
#include <deque>
#include <optional>
#include <string>
#include <string_view>

#include "cornelrelay/request/sse_event.h"

namespace cornelrelay::request {

/// \brief Incremental parser of server-sent events. The result does not depend on how the bytes are
/// split over calls of Feed(). Line ends are LF, CR or CRLF. Comments and `retry` are skipped.
///
/// \code
/// SseParser parser(settings.max_event_bytes);
/// parser.Feed(bytes);
/// while (auto event = parser.Next()) Handle(*event);
/// \endcode
class SseParser {
 public:
  /// \param max_event_bytes limit for one event, including its comments
  explicit SseParser(std::size_t max_event_bytes);

  /// \brief Parses the next bytes of the stream. Bytes after an oversized event are discarded.
  void Feed(std::string_view bytes);

  /// \brief Returns the next complete event, or nothing if none is buffered.
  /// \throws SseEventTooLarge once all events before the oversized one have been returned
  std::optional<SseEvent> Next();

  /// \brief True if an incomplete event is buffered. A stream that ends now is truncated.
  bool HasPartialEvent() const { return m_event_bytes > 0; }

 private:
  void ConsumeByte(char c);
  void FinishLine();
  void FinishEvent();

  std::size_t m_max_event_bytes;
  std::size_t m_event_bytes = 0;
  bool m_at_stream_start = true;
  bool m_after_carriage_return = false;
  bool m_overflow = false;
  bool m_has_data = false;
  std::string m_line;
  SseEvent m_event;
  std::deque<SseEvent> m_complete_events;
};

}  // namespace cornelrelay::request
