#pragma once

#include <boost/asio/awaitable.hpp>
#include <optional>
#include <string>

#include "cornelrelay/net/response_stream.h"

namespace cornelrelay::relay {

/// \brief Buffers the response to a caller and writes it.
///
/// If another upstream continues a streamed response, the caller still receives the head of the
/// first one. SetHead() replaces an earlier head, so it is called for a stream only while
/// has_head() is false. If a stream fails after its start, the connection is aborted without the
/// final chunk, so that the caller cannot take the stream for complete.
class RelayWriter {
 public:
  explicit RelayWriter(net::ResponseStream& response) : m_response(response) {}

  /// \param stream whether the response is forwarded piece by piece instead of as a whole
  void SetHead(net::HttpResponseHead head, bool stream);
  bool has_head() const { return m_head.has_value(); }
  /// \brief Whether a part of the response has been written, so that a failure cuts it off.
  bool started() const { return m_response.Started(); }

  void Append(std::string bytes);
  void Finish() { m_finished = true; }
  /// \brief Replaces a response that has not been started, and aborts one that has.
  void Fail(net::HttpResponse error) { m_error = std::move(error); }

  /// \brief Number of buffered bytes that have not been written.
  std::size_t pending() const { return m_pending.size(); }

  /// \brief Writes the part of the response that is available.
  /// \throws net::CallerGone
  boost::asio::awaitable<void> Flush();

 private:
  boost::asio::awaitable<void> FlushStream();
  boost::asio::awaitable<void> FlushWhole();
  boost::asio::awaitable<void> FlushError();

  net::ResponseStream& m_response;
  std::optional<net::HttpResponseHead> m_head;
  bool m_stream = false;
  std::string m_pending;
  bool m_finished = false;
  std::optional<net::HttpResponse> m_error;
};

}  // namespace cornelrelay::relay
