#include "router/program.h"

#include <boost/asio.hpp>
#include <csignal>
#include <iostream>
#include <string_view>

#include "log/log.h"
#include "router/node.h"

namespace calicodrift::router {
namespace {

namespace asio = boost::asio;

void watchSignals(asio::signal_set& signals, asio::io_context& context, Node& node) {
  signals.async_wait([&](boost::system::error_code code, int) {
    if (code) {
      return;
    }
    node.drain();
    signals.async_wait([&context](boost::system::error_code, int) { context.stop(); });
  });
}

}  // namespace

int runNode(int argc, const char* const* argv) {
  if (argc == 2 && std::string_view(argv[1]) == "--error-reference") {
    std::cout << errorReferenceTable();
    return settings::kExitSuccess;
  }
  const NodeSettings given =
      settings::loadOrExit(argc, argv,
                           "Router node for language-model traffic; --error-reference prints the "
                           "table of error kinds",
                           nodeSettingsTable())
          .settings;
  const auto signers = bundle::parseTrustedSigners(given.trustedSigners);
  if (!signers) {
    std::cerr << signers.error().detail << "\n";
    return settings::kExitUsage;
  }
  const auto action = config::parseUnconfirmedAction(given.configUnvouchedAction);
  if (!action) {
    std::cerr << action.error().detail << "\n";
    return settings::kExitUsage;
  }
  log::initialize(given.nodeId);
  asio::io_context context(1);
  const bundle::SigningRule rule{signers.value(),
                                 static_cast<std::size_t>(given.requiredSignatures)};
  Node node(context, given, rule);
  const Result<Endpoint> endpoint = node.start();
  if (!endpoint) {
    std::cerr << endpoint.error().detail << "\n";
    return settings::kExitFailure;
  }
  std::cout << "listening router " << endpoint.value().toString() << "\n"
            << "listening peer " << node.peerEndpoint().toString() << std::endl;
  asio::signal_set signals(context, SIGTERM, SIGINT);
  watchSignals(signals, context, node);
  context.run();
  return settings::kExitSuccess;
}

}  // namespace calicodrift::router
