#include "sim/programs.h"

#include <boost/asio.hpp>
#include <iostream>
#include <string_view>

#include "http/client.h"
#include "object_api/machine.h"
#include "settings/table.h"
#include "sim/engine_server.h"
#include "sim/fault_proxy.h"
#include "sim/machine_list_server.h"
#include "sim/object_api_server.h"
#include "sim/service_server.h"
#include "sim/weight_store_server.h"

namespace calicodrift::sim {
namespace {

namespace asio = boost::asio;
using settings::SettingsTable;

constexpr std::int64_t kMinute = 60'000;
constexpr std::int64_t kMillion = 1'000'000;

/// Settings that every back end has.
struct BackendSettings {
  std::string id;
  std::string serves;
  std::string zone;
  Endpoint listen;
  std::vector<Endpoint> machineList;
};

template <typename Settings>
SettingsTable<Settings> backendRows(const std::string& servesDefault) {
  return {
      {{"id", "backend", 0, 0, "", "name in the machine list"}, &Settings::id},
      {{"serves", servesDefault, 0, 0, "", "model or service that it serves"}, &Settings::serves},
      {{"zone", "z1", 0, 0, "", "zone in the machine list"}, &Settings::zone},
      {{"listen", "127.0.0.1:0", 0, 0, "", "address to serve on; port 0 lets the system choose"},
       &Settings::listen},
      {{"machine-list", "", 0, 0, "", "machine list to enter itself into"}, &Settings::machineList},
  };
}

struct EngineSettings : BackendSettings {
  std::int64_t weightsVersion = 1;
  std::int64_t prefillTokensPerSecond = 0;
  std::int64_t stepBaseMicroseconds = 0;
  std::int64_t stepPerSequenceMicroseconds = 0;
  std::int64_t maxBatch = 0;
  std::int64_t cacheBlocks = 0;
  std::int64_t blockBytes = 0;
  std::vector<Endpoint> weightStore;
  Milliseconds loadTime{0};
  Milliseconds loadReportLag{0};
  Milliseconds cacheEventDelay{0};
  std::int64_t cacheEventLossPercent = 0;
  std::int64_t loseLastTokens = 0;
};

SettingsTable<EngineSettings> engineTable() {
  auto table = backendRows<EngineSettings>("demo-model");
  const SettingsTable<EngineSettings> own{
      {{"weights-version", "1", 1, kMillion, "", "version of the loaded weights"},
       &EngineSettings::weightsVersion},
      {{"prefill-tokens-per-second", "8000", 1, 100 * kMillion, "tokens", "prefill speed"},
       &EngineSettings::prefillTokensPerSecond},
      {{"step-base-us", "15000", 1, 10 * kMillion, "us", "time of a decode step"},
       &EngineSettings::stepBaseMicroseconds},
      {{"step-per-sequence-us", "150", 0, kMillion, "us", "added to a step by each sequence"},
       &EngineSettings::stepPerSequenceMicroseconds},
      {{"max-batch", "32", 1, 100'000, "count", "sequences in the running batch"},
       &EngineSettings::maxBatch},
      {{"cache-blocks", "4096", 0, 100 * kMillion, "count", "blocks of the prefix cache"},
       &EngineSettings::cacheBlocks},
      {{"block-bytes", "2048", 16, kMillion, "bytes", "prompt text in one block"},
       &EngineSettings::blockBytes},
      {{"weight-store", "", 0, 0, "", "address that weights are fetched from"},
       &EngineSettings::weightStore},
      {{"load-time-ms", "500", 0, kMinute, "ms", "time of a load where no weight store is given"},
       &EngineSettings::loadTime},
      {{"load-report-lag-ms", "0", 0, kMinute, "ms", "how far the reported load lags"},
       &EngineSettings::loadReportLag},
      {{"cache-event-delay-ms", "0", 0, kMinute, "ms", "how late cache events can be read"},
       &EngineSettings::cacheEventDelay},
      {{"cache-event-loss-percent", "0", 0, 100, "percent", "cache events that are lost"},
       &EngineSettings::cacheEventLossPercent},
      {{"lose-last-tokens", "0", 0, kMillion, "count", "fault: tokens lost at each answer's end"},
       &EngineSettings::loseLastTokens},
  };
  table.insert(table.end(), own.begin(), own.end());
  return table;
}

struct ServiceSettings : BackendSettings {
  Milliseconds workTime{0};
};

SettingsTable<ServiceSettings> serviceTable() {
  auto table = backendRows<ServiceSettings>("registry");
  table.push_back({{"work-time-ms", "2", 0, kMinute, "ms", "time that each request takes"},
                   &ServiceSettings::workTime});
  return table;
}

struct WeightStoreProgramSettings {
  Endpoint listen;
  Milliseconds loadTime{0};
  std::int64_t fullSpeedLoads = 0;
  std::int64_t failLoads = 0;
};

SettingsTable<WeightStoreProgramSettings> weightStoreTable() {
  using W = WeightStoreProgramSettings;
  return {
      {{"listen", "127.0.0.1:0", 0, 0, "", "address to serve on"}, &W::listen},
      {{"load-time-ms", "500", 0, kMinute, "ms", "time of one load at full speed"}, &W::loadTime},
      {{"full-speed-loads", "3", 1, 10'000, "count", "loads at once that don't slow each other"},
       &W::fullSpeedLoads},
      {{"fail-loads", "0", 0, kMillion, "count", "so many first loads are refused"}, &W::failLoads},
  };
}

struct PlatformSettings {
  Endpoint objectApiListen;
  Endpoint machineListListen;
  Milliseconds machineListLag{0};
  std::int64_t objectApiHistory = 0;
};

SettingsTable<PlatformSettings> platformTable() {
  return {
      {{"object-api-listen", "127.0.0.1:0", 0, 0, "", "address of the object API"},
       &PlatformSettings::objectApiListen},
      {{"machine-list-listen", "127.0.0.1:0", 0, 0, "", "address of the machine list"},
       &PlatformSettings::machineListListen},
      {{"machine-list-lag-ms", "0", 0, kMinute, "ms", "how far the machine list lags"},
       &PlatformSettings::machineListLag},
      {{"object-api-history", "1024", 1, kMillion, "count",
        "last changes that a watch may resume from; older ones are compacted (410)"},
       &PlatformSettings::objectApiHistory},
  };
}

struct ProxySettings {
  Endpoint listen;
  Endpoint controlListen;
  Endpoint target;
};

SettingsTable<ProxySettings> proxyTable() {
  return {
      {{"listen", "127.0.0.1:0", 0, 0, "", "address that callers connect to"},
       &ProxySettings::listen},
      {{"control-listen", "127.0.0.1:0", 0, 0, "", "address for POST /faults and GET /stats"},
       &ProxySettings::controlListen},
      {{"target", "127.0.0.1:1", 0, 0, "", "address that connections are passed on to"},
       &ProxySettings::target},
  };
}

/// Prints the line that tests and the demo wait for; exits where the address can't be had.
Endpoint announceOrExit(std::string_view name, const Result<Endpoint>& endpoint) {
  if (!endpoint) {
    std::cerr << endpoint.error().detail << "\n";
    std::exit(settings::kExitFailure);
  }
  std::cout << "listening " << name << " " << endpoint.value().toString() << std::endl;
  return endpoint.value();
}

void runUntilSignal(asio::io_context& context) {
  asio::signal_set signals(context, SIGTERM, SIGINT);
  signals.async_wait([&context](boost::system::error_code, int) { context.stop(); });
  context.run();
}

asio::awaitable<void> enterMachineList(http::Client& client, Endpoint machineList,
                                       object_api::Machine machine) {
  http::Request request;
  request.method = "PUT";
  request.target = "/machines/" + machine.id.value();
  request.body = object_api::toJson(machine);
  const Result<http::Response> response = co_await client.exchange(machineList, request);
  if (!response) {
    std::cerr << "cannot enter the machine list: " << response.error().detail << "\n";
  }
}

/// Runs a back end that is listening, after it has entered the machine lists.
void runBackend(asio::io_context& context, const BackendSettings& settings,
                object_api::MachineKind kind, const Endpoint& endpoint) {
  http::Client client(context.get_executor());
  object_api::Machine machine;
  machine.id = BackendId(settings.id);
  machine.kind = kind;
  machine.serves = settings.serves;
  machine.zone = ZoneId(settings.zone);
  machine.endpoint = endpoint;
  for (const Endpoint& machineList : settings.machineList) {
    asio::co_spawn(context, enterMachineList(client, machineList, machine), asio::detached);
  }
  runUntilSignal(context);
}

}  // namespace

int runEngine(int argc, const char* const* argv) {
  const EngineSettings given =
      settings::loadOrExit(argc, argv, "Stand-in of a model engine", engineTable()).settings;
  constexpr double kMsPerSecond = 1000.0;
  EngineServerSettings server;
  server.identity.id = BackendId(given.id);
  server.identity.model = ModelId(given.serves);
  server.identity.weights = WeightsVersion(static_cast<std::uint64_t>(given.weightsVersion));
  server.identity.loadTime = given.loadTime;
  if (!given.weightStore.empty()) {
    server.identity.weightStore = given.weightStore.front();
  }
  server.loadReportLag = given.loadReportLag;
  server.cacheFeed.delay = given.cacheEventDelay;
  server.cacheFeed.lossPercent = given.cacheEventLossPercent;
  const auto started = std::chrono::duration_cast<Microseconds>(wallNow().time_since_epoch());
  server.identity.incarnation = Incarnation(static_cast<std::uint64_t>(started.count()));
  server.blockBytes = static_cast<std::size_t>(given.blockBytes);
  server.loseLastTokens = static_cast<std::size_t>(given.loseLastTokens);
  server.cost.prefillTokensPerMs = static_cast<double>(given.prefillTokensPerSecond) / kMsPerSecond;
  server.cost.stepBase = Microseconds(given.stepBaseMicroseconds);
  server.cost.stepPerSequence = Microseconds(given.stepPerSequenceMicroseconds);
  server.cost.maxBatch = static_cast<std::size_t>(given.maxBatch);
  server.cost.cacheBlocks = static_cast<std::size_t>(given.cacheBlocks);
  server.cost.blockTokens = server.blockBytes / server.bytesPerToken;
  asio::io_context context(1);
  EngineServer engine(context, server);
  const Endpoint endpoint = announceOrExit("engine", engine.listen(given.listen));
  runBackend(context, given, object_api::MachineKind::kEngine, endpoint);
  return settings::kExitSuccess;
}

int runService(int argc, const char* const* argv) {
  const ServiceSettings given =
      settings::loadOrExit(argc, argv, "Stand-in of an ordinary HTTP service", serviceTable())
          .settings;
  asio::io_context context(1);
  ServiceServer service(context.get_executor(), BackendId(given.id), given.workTime);
  const Endpoint endpoint = announceOrExit("service", service.listen(given.listen));
  runBackend(context, given, object_api::MachineKind::kService, endpoint);
  return settings::kExitSuccess;
}

int runWeightStore(int argc, const char* const* argv) {
  const WeightStoreProgramSettings given =
      settings::loadOrExit(argc, argv, "Stand-in of the weight store", weightStoreTable()).settings;
  asio::io_context context(1);
  WeightStoreServer store(
      context.get_executor(),
      {given.loadTime, static_cast<std::size_t>(given.fullSpeedLoads), given.failLoads});
  announceOrExit("weight-store", store.listen(given.listen));
  runUntilSignal(context);
  return settings::kExitSuccess;
}

int runPlatform(int argc, const char* const* argv) {
  const PlatformSettings given =
      settings::loadOrExit(argc, argv, "Stand-ins of the platform's object API and machine list",
                           platformTable())
          .settings;
  asio::io_context context(1);
  ObjectApiServer objectApi(context.get_executor(), http::ServerLimits{},
                            static_cast<std::size_t>(given.objectApiHistory));
  MachineListServer machineList(context.get_executor(), http::ServerLimits{}, given.machineListLag);
  announceOrExit("object-api", objectApi.listen(given.objectApiListen));
  announceOrExit("machine-list", machineList.listen(given.machineListListen));
  runUntilSignal(context);
  return settings::kExitSuccess;
}

int runProxy(int argc, const char* const* argv) {
  const ProxySettings given =
      settings::loadOrExit(argc, argv, "TCP proxy that injects faults", proxyTable()).settings;
  asio::io_context context(1);
  FaultProxy proxy(context, given.target);
  announceOrExit("proxy", proxy.listen(given.listen));
  announceOrExit("control", proxy.listenControl(given.controlListen));
  runUntilSignal(context);
  return settings::kExitSuccess;
}

int runSim(int argc, const char* const* argv) {
  const std::string_view role = argc > 1 ? argv[1] : "";
  if (role == "engine") {
    return runEngine(argc - 1, argv + 1);
  }
  if (role == "service") {
    return runService(argc - 1, argv + 1);
  }
  if (role == "weight-store") {
    return runWeightStore(argc - 1, argv + 1);
  }
  if (role == "platform") {
    return runPlatform(argc - 1, argv + 1);
  }
  if (role == "proxy") {
    return runProxy(argc - 1, argv + 1);
  }
  if (role == "hollow") {
    return runHollow(argc - 1, argv + 1);
  }
  std::cerr << "usage: calicodrift-sim engine|service|weight-store|platform|proxy|hollow [flags]; "
               "each role has its own --help\n";
  return role == "--help" ? settings::kExitSuccess : settings::kExitUsage;
}

}  // namespace calicodrift::sim
