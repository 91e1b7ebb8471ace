#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace cornelrelay::request {

/// \brief Splits a stream of server-sent events into complete events without changing a byte.
///
/// An event includes the empty line that ends it. Line ends are LF or CRLF.
///
/// \code
/// SseSplitter splitter(limits.event);
/// splitter.Feed(bytes);
/// while (auto event = splitter.Next()) Forward(*event);
/// \endcode
class SseSplitter {
 public:
  /// \param max_event_bytes limit for one event
  explicit SseSplitter(std::size_t max_event_bytes) : m_max_event_bytes(max_event_bytes) {}

  void Feed(std::string_view bytes) { m_buffer.append(bytes); }

  /// \brief Returns the bytes of the next complete event, or nothing if none is buffered.
  /// \throws SseEventTooLarge if the incomplete event exceeds the limit
  std::optional<std::string> Next();

  /// \brief True if an incomplete event is buffered. A stream that ends now is truncated.
  bool HasPartialEvent() const { return !m_buffer.empty(); }
  std::size_t buffered_bytes() const { return m_buffer.size(); }

 private:
  std::size_t m_max_event_bytes;
  std::string m_buffer;
  std::size_t m_scanned = 0;  ///< number of leading bytes that contain no end of an event
};

/// \brief Returns the `id` of one event, or nothing if the event has no `id` line or its value is
/// not a decimal number.
std::optional<std::uint64_t> ParseEventId(std::string_view event);

}  // namespace cornelrelay::request
