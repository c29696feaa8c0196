#include <boost/asio.hpp>
#include <iostream>

#include "hollow/hollow_fleet.h"
#include "log/log.h"
#include "settings/table.h"
#include "sim/programs.h"

namespace calicodrift::sim {
namespace {

struct HollowSettings {
  std::int64_t nodes = 0;
  std::int64_t zones = 0;
  std::int64_t threads = 0;
  std::string namePrefix;
  std::vector<Endpoint> seeds;
  std::vector<Endpoint> objectApi;
  std::vector<std::string> trustedSigners;
  std::int64_t requiredSignatures = 0;
  Milliseconds probeInterval{0};
  Milliseconds probeTimeout{0};
  Milliseconds suspicionTimeout{0};
};

settings::SettingsTable<HollowSettings> hollowTable() {
  using S = HollowSettings;
  constexpr std::int64_t kMinute = 60'000;
  return {
      {{"nodes", "100", 1, 4000, "count", "hollow nodes in this process"}, &S::nodes},
      {{"zones", "27", 1, 1000, "count", "zones that they are spread over"}, &S::zones},
      {{"threads", "2", 1, 64, "count", "threads of this process"}, &S::threads},
      {{"name-prefix", "hollow", 0, 0, "", "their names are PREFIX-0, PREFIX-1, ..."},
       &S::namePrefix},
      {{"seeds", "", 0, 0, "", "peer addresses of nodes in other processes"}, &S::seeds},
      {{"object-api", "", 0, 0, "", "address of the platform's object API"}, &S::objectApi},
      {{"trusted-signers", "", 0, 0, "", "NAME=PUBLIC_KEY_HEX of each person who may sign bundles"},
       &S::trustedSigners},
      {{"required-signatures", "2", 1, 16, "count", "different trusted signers a bundle needs"},
       &S::requiredSignatures},
      {{"member-probe-interval-ms", "1000", 20, kMinute, "ms", "as of the router"},
       &S::probeInterval},
      {{"member-probe-timeout-ms", "300", 5, kMinute, "ms", "as of the router"}, &S::probeTimeout},
      {{"member-suspicion-timeout-ms", "3000", 50, kMinute, "ms", "as of the router"},
       &S::suspicionTimeout},
  };
}

}  // namespace

int runHollow(int argc, const char* const* argv) {
  const HollowSettings given =
      settings::loadOrExit(argc, argv, "Many nodes' control sides in one process", hollowTable())
          .settings;
  const auto signers = bundle::parseTrustedSigners(given.trustedSigners);
  if (!signers) {
    std::cerr << signers.error().detail << "\n";
    return settings::kExitUsage;
  }
  log::silence();
  hollow::HollowFleetSettings fleetSettings;
  fleetSettings.configuration.store.objectApi = given.objectApi;
  fleetSettings.signingRule = {signers.value(), static_cast<std::size_t>(given.requiredSignatures)};
  fleetSettings.nodes = static_cast<std::size_t>(given.nodes);
  fleetSettings.zones = static_cast<std::size_t>(given.zones);
  fleetSettings.threads = static_cast<std::size_t>(given.threads);
  fleetSettings.namePrefix = given.namePrefix;
  fleetSettings.membership.seeds = given.seeds;
  fleetSettings.membership.probeInterval = given.probeInterval;
  fleetSettings.membership.probeTimeout = given.probeTimeout;
  fleetSettings.membership.suspicionTimeout = given.suspicionTimeout;
  hollow::HollowFleet fleet(fleetSettings);
  const Result<void> started = fleet.start();
  if (!started) {
    std::cerr << started.error().detail << "\n";
    return settings::kExitFailure;
  }
  std::cout << "listening hollow " << fleet.endpointOf(0).toString() << std::endl;
  boost::asio::io_context context(1);
  boost::asio::signal_set signals(context, SIGTERM, SIGINT);
  signals.async_wait([&context](boost::system::error_code, int) { context.stop(); });
  context.run();
  return settings::kExitSuccess;
}

}  // namespace calicodrift::sim
