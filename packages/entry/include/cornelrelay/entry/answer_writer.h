#pragma once

#include <boost/asio/awaitable.hpp>
#include <cstddef>
#include <optional>
#include <string>
#include <utility>

#include "cornelrelay/core/ids.h"
#include "cornelrelay/entry/typed_error.h"
#include "cornelrelay/net/http_message.h"
#include "cornelrelay/net/response_stream.h"

namespace cornelrelay::entry {

/// \brief Collects the answer to one caller and writes it as a stream of events, whole, or as an
/// error.
///
/// \code
/// writer.SetHead(attempt.head());
/// writer.Append(payload);
/// writer.Finish();
/// co_await writer.Flush();
/// \endcode
class AnswerWriter {
 public:
  /// \param stream the caller asked for server-sent events
  AnswerWriter(net::ResponseStream& response, core::RequestId request, bool stream);

  /// \brief The upstream's head; without one the answer is JSON with status 200.
  void SetHead(const std::optional<net::HttpResponseHead>& head) { m_head = head; }

  void Append(const std::string& payload);
  void Finish() { m_finished = true; }
  void Fail(TypedError error) { m_error = std::move(error); }

  /// \brief Bytes that have not been written yet.
  const std::string& pending() const { return m_pending; }

  /// \brief Writes what has been collected and waits until the kernel has taken it.
  /// \throws net::CallerGone
  boost::asio::awaitable<void> Flush();

 private:
  bool IsEventStream() const;
  net::HttpResponseHead Head() const;
  boost::asio::awaitable<void> FlushStream();
  boost::asio::awaitable<void> FlushWhole();
  boost::asio::awaitable<void> FlushError();

  net::ResponseStream& m_response;
  core::RequestId m_request;
  bool m_stream;
  std::optional<net::HttpResponseHead> m_head;
  std::string m_pending;
  std::optional<TypedError> m_error;
  bool m_finished = false;
};

}  // namespace cornelrelay::entry
