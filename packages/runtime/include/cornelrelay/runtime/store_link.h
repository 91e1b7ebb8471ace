#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>

#include "cornelrelay/core/endpoint.h"
#include "cornelrelay/net/http_client.h"
#include "cornelrelay/platform/store_client.h"
#include "cornelrelay/platform/store_http_codec.h"
#include "cornelrelay/runtime/process_clock.h"
#include "cornelrelay/runtime/wake_timer.h"

namespace cornelrelay::runtime {

/// \brief Runs a StoreClient over HTTP and hands each reply to its caller.
///
/// \code
/// store.Call(platform::Get{"key"}, [](const platform::StoreReply& reply) { ... });
/// \endcode
class StoreLink : public std::enable_shared_from_this<StoreLink> {
 public:
  using ReplyHandler = std::function<void(const platform::StoreReply&)>;

  StoreLink(boost::asio::io_context& context, const ProcessClock& clock, net::HttpClient& client,
            core::Endpoint store, const platform::StoreClientOptions& options, std::uint64_t seed);

  platform::StoreCallId Call(platform::StoreRequest request, ReplyHandler on_reply);
  void Cancel(platform::StoreCallId call);

  const platform::StoreClient& client() const { return m_machine; }
  std::uint64_t transmissions() const { return m_transmissions; }

 private:
  void Step(const platform::StoreClientEvent& event);
  void Transmit(const platform::TransmitCall& call);
  boost::asio::awaitable<void> Run(platform::TransmitCall call);
  boost::asio::awaitable<platform::StoreReply> Exchange(const platform::StoreRequest& request);
  boost::asio::awaitable<platform::StoreReply> ReadWatch(const platform::Watch& watch,
                                                         net::HttpExchange& exchange);
  void Deliver(const platform::DeliverReply& delivery);

  boost::asio::io_context& m_context;
  const ProcessClock& m_clock;
  net::HttpClient& m_http;
  core::Endpoint m_store;
  platform::StoreHttpCodec m_codec;
  platform::StoreClientOptions m_options;
  platform::StoreClient m_machine;
  std::map<platform::StoreCallId, ReplyHandler> m_handlers;
  platform::StoreCallId m_next_call = 1;
  std::uint64_t m_transmissions = 0;
  WakeTimer m_timer;
};

}  // namespace cornelrelay::runtime
