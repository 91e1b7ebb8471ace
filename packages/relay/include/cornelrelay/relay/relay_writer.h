#pragma once

#include <boost/asio/awaitable.hpp>
#include <optional>
#include <string>

#include "cornelrelay/net/response_stream.h"

namespace cornelrelay::relay {

/// \brief Collects a caller's answer and writes it.
///
/// A stream keeps the head of its first upstream. One that fails after its start is broken off
/// without its last chunk, so that it cannot be taken for complete.
class RelayWriter {
 public:
  explicit RelayWriter(net::ResponseStream& response) : m_response(response) {}

  /// \param stream whether the answer is passed on in pieces
  void SetHead(net::HttpResponseHead head, bool stream);
  bool has_head() const { return m_head.has_value(); }

  void Append(const std::string& bytes) { m_pending += bytes; }
  void Finish() { m_finished = true; }
  /// \brief Replaces an answer that has not begun, and breaks off one that has.
  void Fail(net::HttpResponse error) { m_error = std::move(error); }

  std::size_t pending() const { return m_pending.size(); }

  /// \brief Writes what there is. \throws net::CallerGone
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
