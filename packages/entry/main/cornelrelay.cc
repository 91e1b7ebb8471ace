#include <CLI/CLI.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <csignal>
#include <iostream>
#include <string>
#include <vector>

#include "cornelrelay/core/error.h"
#include "cornelrelay/entry/relay.h"
#include "cornelrelay/net/http_server.h"

namespace {

using cornelrelay::core::ParseEndpoint;

int Serve(const std::string& listen, const std::vector<std::string>& upstreams) {
  boost::asio::io_context context(1);
  cornelrelay::net::HttpClient client(context, {});
  std::vector<cornelrelay::core::Endpoint> endpoints;
  for (const auto& text : upstreams) endpoints.push_back(ParseEndpoint(text));
  cornelrelay::entry::Relay relay(client, endpoints);
  cornelrelay::net::HttpServer server(
      context, ParseEndpoint(listen), {}, std::nullopt,
      [&relay](cornelrelay::net::HttpRequest request, cornelrelay::net::ResponseStream& response) {
        return relay.Serve(std::move(request), response);
      });
  server.Start();
  boost::asio::signal_set signals(context, SIGTERM, SIGINT);
  signals.async_wait([&context](auto, int) { context.stop(); });
  context.run();
  return 0;
}

}  // namespace

int main(int argc, char** argv) {
  CLI::App app("Load balancer for expert-parallel model groups");
  app.require_subcommand(1);
  std::string listen;
  std::vector<std::string> upstreams;
  auto* serve = app.add_subcommand("serve", "run the entry process");
  serve->add_option("--listen", listen, "address:port for callers")->required();
  serve->add_option("--upstream", upstreams, "address:port of an upstream")->required();
  CLI11_PARSE(app, argc, argv);
  try {
    return Serve(listen, upstreams);
  } catch (const cornelrelay::core::Error& error) {
    std::cerr << error.code() << ": " << error.what() << '\n';
    return 1;
  }
}
