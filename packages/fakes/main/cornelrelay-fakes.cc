#include <CLI/CLI.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <csignal>
#include <iostream>
#include <memory>

#include "cornelrelay/core/error.h"
#include "cornelrelay/fakes/fake_engine.h"
#include "cornelrelay/fakes/fake_host_list.h"
#include "cornelrelay/fakes/fake_plain_service.h"
#include "cornelrelay/fakes/fake_store.h"

namespace {

using cornelrelay::core::ParseEndpoint;
namespace fakes = cornelrelay::fakes;

struct Arguments {
  std::string id = "fake";
  std::string listen;
  std::size_t batch_slots = 32;
  int step_us = 5000;
  int load_lag_ms = 1000;
  int work_ms = 5;
  int list_lag_ms = 30000;
  bool ignores_fencing = false;
  std::string ledger;
};

template <class Fake>
int RunUntilSignal(boost::asio::io_context& context, Fake& fake) {
  fake.Start();
  boost::asio::signal_set signals(context, SIGTERM, SIGINT);
  signals.async_wait([&context](auto, int) { context.stop(); });
  context.run();
  return 0;
}

int RunEngine(const Arguments& arguments) {
  boost::asio::io_context context(1);
  fakes::EngineOptions options;
  options.id = arguments.id;
  options.listen = ParseEndpoint(arguments.listen);
  options.batch_slots = arguments.batch_slots;
  options.step_time = std::chrono::microseconds(arguments.step_us);
  options.load_lag = std::chrono::milliseconds(arguments.load_lag_ms);
  options.honours_fencing = !arguments.ignores_fencing;
  fakes::FakeEngine engine(context, options);
  return RunUntilSignal(context, engine);
}

int RunPlainService(const Arguments& arguments) {
  boost::asio::io_context context(1);
  fakes::FakePlainService service(context,
                                  {arguments.id, ParseEndpoint(arguments.listen),
                                   std::chrono::milliseconds(arguments.work_ms), arguments.ledger});
  return RunUntilSignal(context, service);
}

int RunStore(const Arguments& arguments) {
  boost::asio::io_context context(1);
  fakes::FakeStore store(context, ParseEndpoint(arguments.listen));
  return RunUntilSignal(context, store);
}

int RunHostList(const Arguments& arguments) {
  boost::asio::io_context context(1);
  fakes::FakeHostList hosts(context, ParseEndpoint(arguments.listen),
                            std::chrono::milliseconds(arguments.list_lag_ms));
  return RunUntilSignal(context, hosts);
}

}  // namespace

int main(int argc, char** argv) {
  CLI::App app("Stand-ins for the platform and the upstreams, for tests and the demo");
  Arguments arguments;
  app.require_subcommand(1);
  auto* engine = app.add_subcommand("engine", "model engine");
  auto* plain = app.add_subcommand("plain", "plain service");
  auto* store = app.add_subcommand("store", "key-value service");
  auto* hosts = app.add_subcommand("hosts", "host list");
  for (auto* command : {engine, plain, store, hosts}) {
    command->add_option("--id", arguments.id);
    command->add_option("--listen", arguments.listen, "address:port")->required();
  }
  engine->add_option("--slots", arguments.batch_slots, "requests in one batch");
  engine->add_option("--step-us", arguments.step_us, "time of one step in microseconds");
  engine->add_option("--load-lag-ms", arguments.load_lag_ms, "lag of load reports in milliseconds");
  engine->add_flag("--ignores-fencing", arguments.ignores_fencing);
  plain->add_option("--work-ms", arguments.work_ms, "time of one call in milliseconds");
  plain->add_option("--ledger", arguments.ledger, "file that records each executed POST");
  hosts->add_option("--lag-ms", arguments.list_lag_ms, "lag of the list in milliseconds");
  CLI11_PARSE(app, argc, argv);
  try {
    if (engine->parsed()) return RunEngine(arguments);
    if (plain->parsed()) return RunPlainService(arguments);
    if (store->parsed()) return RunStore(arguments);
    return RunHostList(arguments);
  } catch (const cornelrelay::core::Error& error) {
    std::cerr << error.code() << ": " << error.what() << '\n';
    return 1;
  }
}
