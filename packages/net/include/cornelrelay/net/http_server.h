#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>

#include "cornelrelay/core/endpoint.h"
#include "cornelrelay/net/caller_limit.h"
#include "cornelrelay/net/http_message.h"
#include "cornelrelay/net/response_stream.h"
#include "cornelrelay/net/tls_files.h"

namespace cornelrelay::net {

/// \brief Bounds on what callers may send and hold.
struct HttpServerLimits {
  std::uint32_t head_bytes = 16'384;
  std::uint64_t body_bytes = 4'194'304;
  std::size_t connections = 4096;
  std::chrono::milliseconds head_timeout{10'000};  ///< from the first byte of a head to its end
  std::chrono::milliseconds idle_timeout{75'000};  ///< before a request, and for its body
  std::chrono::milliseconds write_timeout{60'000};
  /// Memory of the process, from which the bytes that connections may hold follow
  /// (limits::CallerMemoryLimitsOf); 0 sets no bound.
  std::size_t memory_bytes = 0;
  std::size_t connections_per_address = 0;  ///< 0 sets no bound
  std::size_t head_fields = 0;              ///< 0: as many as `head_bytes` allows
  std::uint32_t min_body_rate = 0;  ///< bytes/s of a body after `body_grace`; 0 sets no bound
  std::chrono::milliseconds body_grace{10'000};

  friend bool operator==(const HttpServerLimits&, const HttpServerLimits&) = default;
};

/// \brief HTTP/1.1 server with keep-alive; one coroutine per connection on the given context.
///
/// \code
/// HttpServer server(context, endpoint, limits, std::nullopt, handler);
/// server.Start();
/// ...
/// server.StopAccepting();   // requests in progress go on
/// \endcode
class HttpServer {
 public:
  using Handler = std::function<boost::asio::awaitable<void>(HttpRequest, ResponseStream&)>;

  /// \throws ListenFailed, TlsSetupFailed
  HttpServer(boost::asio::io_context& context, const core::Endpoint& endpoint,
             HttpServerLimits limits, const std::optional<TlsFiles>& tls, Handler handler,
             CallerHooks hooks = {});
  ~HttpServer();
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

  void Start();

  /// \brief Holds for the next request of each open connection and for new connections.
  void SetLimits(const HttpServerLimits& limits);

  /// \brief Ends each connection after its next response, which says so; still accepts new ones.
  void AnnounceClosing();

  /// \brief Closes the listening socket and idle connections; busy ones close after their response.
  void StopAccepting();

  /// \brief Closes every connection at once.
  void CloseAll();

  std::size_t ActiveExchanges() const;

 private:
  class Impl;
  std::shared_ptr<Impl> m_impl;
};

}  // namespace cornelrelay::net
