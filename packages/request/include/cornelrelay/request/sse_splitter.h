#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace cornelrelay::request {

/// \brief Cuts a stream of server-sent events into whole events without changing a byte.
///
/// An event reaches to the end of its empty line. Line ends are LF or CRLF.
///
/// \code
/// SseSplitter splitter(limits.event);
/// splitter.Feed(piece);
/// while (auto event = splitter.Next()) Forward(*event);
/// \endcode
class SseSplitter {
 public:
  explicit SseSplitter(std::size_t max_event_bytes) : m_max_event_bytes(max_event_bytes) {}

  void Feed(std::string_view bytes) { m_held.append(bytes); }

  /// \brief The bytes of the next whole event.
  /// \throws SseEventTooLarge
  std::optional<std::string> Next();

  /// \brief True if bytes of an unfinished event are held: a stream that closes now was cut.
  bool HasPartialEvent() const { return !m_held.empty(); }

 private:
  std::size_t m_max_event_bytes;
  std::string m_held;
  std::size_t m_scanned = 0;  ///< bytes that were searched for an end
};

/// \brief Value of the `id` line of one event; empty if it has none or is no decimal number.
std::optional<std::uint64_t> ParseEventId(std::string_view event);

}  // namespace cornelrelay::request
