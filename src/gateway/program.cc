#include "gateway/program.h"

#include <boost/asio.hpp>
#include <csignal>
#include <iostream>

#include "gateway/bounds.h"
#include "log/log.h"

namespace calicodrift::gateway {
namespace {

namespace asio = boost::asio;
constexpr const char* kExplainWord = "explain-settings";

void watchSignals(asio::signal_set& signals, GatewayNode& node) {
  signals.async_wait([&](boost::system::error_code code, int number) {
    if (code) {
      return;
    }
    if (number == SIGHUP) {
      // Every setting is of the start; what changes at run time comes from the store.
      log::write(log::Level::kInfo, "settings_changed", {{"effect", "at the next start"}});
    } else {
      node.drain();
    }
    watchSignals(signals, node);
  });
}

}  // namespace

int runGateway(int argc, const char* const* argv, PortFactory& ports) {
  auto loaded =
      settings::loadOrExit(argc, argv, "Router node on a platform with a store of its own",
                           gatewaySettingsTable(), settings::WordsAllowed::kYes);
  GatewaySettings& settings = loaded.settings;
  const Result<Mechanisms> mechanisms = mechanismsWithout(settings.without);
  if (!mechanisms) {
    std::cerr << mechanisms.error().detail << "\n";
    return settings::kExitUsage;
  }
  settings.mechanisms = mechanisms.value();
  const auto derived = applyBounds(settings);
  if (!derived) {
    std::cerr << derived.error().detail << "\n";
    return settings::kExitUsage;
  }
  if (loaded.words == std::vector<std::string>{kExplainWord}) {
    std::cout << describeDerived(derived.value());
    return settings::kExitSuccess;
  }
  if (!loaded.words.empty()) {
    std::cerr << "unknown word '" << loaded.words.front() << "'; '" << kExplainWord
              << "' prints the settings that follow from bounds\n";
    return settings::kExitUsage;
  }
  log::initialize(settings.nodeId, log::Output::kStandardOutput);
  asio::io_context context(1);
  http::ClientSettings clientSettings;
  clientSettings.sourceAddress = settings.sourceAddress;
  http::Client client(context.get_executor(), clientSettings);
  GatewayNode node(context, client, ports.make(client, settings), settings);
  const Result<void> started = node.start();
  if (!started) {
    std::cerr << started.error().detail << "\n";
    return settings::kExitFailure;
  }
  asio::signal_set signals(context, SIGTERM, SIGINT, SIGHUP);
  watchSignals(signals, node);
  context.run();
  return settings::kExitSuccess;
}

}  // namespace calicodrift::gateway
