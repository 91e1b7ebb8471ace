#include "cornelrelay/request/sse_splitter.h"

#include <algorithm>
#include <charconv>

#include "cornelrelay/request/sse_event_too_large.h"

namespace cornelrelay::request {
namespace {

constexpr std::size_t kMaxTerminatorBytes = 4;  // CRLF CRLF

std::size_t FindEventEnd(std::string_view bytes, std::size_t from) {
  for (std::size_t at = bytes.find('\n', from); at != std::string_view::npos;
       at = bytes.find('\n', at + 1)) {
    if (bytes.substr(at + 1).starts_with('\n')) return at + 2;
    if (bytes.substr(at + 1).starts_with("\r\n")) return at + 3;
  }
  return std::string_view::npos;
}

}  // namespace

std::optional<std::string> SseSplitter::Next() {
  const std::size_t end = FindEventEnd(m_buffer, m_scanned);
  if (end == std::string::npos) {
    if (m_buffer.size() > m_max_event_bytes) throw SseEventTooLarge(m_max_event_bytes);
    m_scanned = m_buffer.size() - std::min(m_buffer.size(), kMaxTerminatorBytes);
    return std::nullopt;
  }
  std::string event = m_buffer.substr(0, end);
  m_buffer.erase(0, end);
  m_scanned = 0;
  return event;
}

std::optional<std::uint64_t> ParseEventId(std::string_view event) {
  constexpr std::string_view kField = "id:";
  while (!event.empty()) {
    const auto end = std::min(event.find('\n'), event.size() - 1);
    std::string_view line = event.substr(0, end);
    event.remove_prefix(end + 1);
    if (!line.starts_with(kField)) continue;
    line.remove_prefix(kField.size());
    if (line.starts_with(' ')) line.remove_prefix(1);
    if (line.ends_with('\r')) line.remove_suffix(1);
    std::uint64_t id = 0;
    const auto [rest, status] = std::from_chars(line.data(), line.data() + line.size(), id);
    if (status != std::errc() || rest != line.data() + line.size()) return std::nullopt;
    return id;
  }
  return std::nullopt;
}

}  // namespace cornelrelay::request
