#pragma once

#include <cstddef>
#include <deque>
#include <optional>
#include <string>
#include <string_view>

#include "cornelrelay/request/sse_event.h"

namespace cornelrelay::request {

/// \brief Incremental parser of server-sent events; the result does not depend on how the bytes are
/// split into pieces. Line ends are LF, CR or CRLF. Comments and `retry` are skipped.
///
/// \code
/// SseParser parser(settings.max_event_bytes);
/// parser.Feed(bytes);
/// while (auto event = parser.Next()) Handle(*event);
/// \endcode
class SseParser {
 public:
  /// \param max_event_bytes bound on all bytes of one event, comments included
  explicit SseParser(std::size_t max_event_bytes);

  /// \brief Consumes a piece. Bytes after an oversized event are discarded.
  void Feed(std::string_view bytes);

  /// \brief The next complete event. Throws SseEventTooLarge once all events before the oversized
  /// one have been returned.
  std::optional<SseEvent> Next();

  /// \brief True if bytes of an unfinished event are held: a stream that closes now was cut.
  bool HasPartialEvent() const { return m_event_bytes > 0; }

 private:
  void Take(char c);
  void FinishLine();
  void FinishEvent();

  std::size_t m_max_event_bytes;
  std::size_t m_event_bytes = 0;
  bool m_at_start = true;
  bool m_after_carriage_return = false;
  bool m_overflow = false;
  bool m_has_data = false;
  std::string m_line;
  SseEvent m_event;
  std::deque<SseEvent> m_ready;
};

}  // namespace cornelrelay::request
