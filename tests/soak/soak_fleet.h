#pragma once

#include <boost/algorithm/string/replace.hpp>
#include <boost/json.hpp>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "bench/fault_schedule.h"
#include "http/server.h"
#include "object_api/machine.h"
#include "support/fleet.h"

namespace calicodrift::testing {

/// A deployment scaled down to one machine.
struct FleetShape {
  std::string name;
  std::string service;
  std::size_t engines = 0;
  std::size_t services = 0;
  std::size_t routers = 0;
};

inline FleetShape shapeNamed(const std::string& name) {
  if (name == "trinacria") {
    return {"trinacria", "match", 4, 3, 6};
  }
  return {"tatra", "registry", 6, 3, 6};
}

/// A whole deployment of real processes in three zones: routers, back ends each behind a proxy that
/// injects faults, and a platform. It carries out the faults that `calicodrift-bench soak` asks for
/// at the control port (see bench/soak_fleet.h).
/// Concurrency: everything after the constructor runs on the control port's one thread.
class SoakFleet {
 public:
  explicit SoakFleet(FleetShape shape)
      : shape_(std::move(shape)),
        client_(context_.get_executor()),
        control_(context_.get_executor(), http::ServerLimits{},
                 [this](http::Request& request, http::ResponseWriter& writer) {
                   return handle(request, writer);
                 }) {
    fleet_.submitBundle(bundleText(1));
    startBackends();
    for (std::size_t number = 0; number < shape_.routers; ++number) {
      Router router{"r" + std::to_string(number + 1), zoneOf(number), {}, {}, nullptr};
      router.endpoint = Endpoint{"127.0.0.1", 0};
      router.peer = router.endpoint;
      routers_.push_back(std::move(router));
      startRouter(routers_.back());
    }
    for (const Router& router : routers_) {
      if (!waitUntilServing(router.endpoint)) {
        throw std::runtime_error(router.id + " does not serve");
      }
    }
    controlEndpoint_ = control_.listen({"127.0.0.1", 0}).value();
    thread_ = std::thread([this] { context_.run(); });
  }

  ~SoakFleet() {
    context_.stop();
    thread_.join();
  }
  SoakFleet(const SoakFleet&) = delete;
  SoakFleet& operator=(const SoakFleet&) = delete;

  const Endpoint& controlEndpoint() const { return controlEndpoint_; }

 private:
  struct Backend {
    std::string id;
    object_api::MachineKind kind;
    std::string zone;
    Endpoint endpoint;
    std::unique_ptr<Process> process;
    std::unique_ptr<Proxy> proxy;
  };
  struct Router {
    std::string id;
    std::string zone;
    Endpoint endpoint;
    Endpoint peer;
    std::unique_ptr<Process> process;
  };

  static std::string zoneOf(std::size_t number) {
    constexpr std::size_t kZones = 3;
    return "z" + std::to_string(number % kZones + 1);
  }

  std::string bundleText(std::uint64_t version) const {
    std::string text = Fleet::bundleText(version, "PrefixHashBoundedLoad");
    boost::replace_all(text, "registry", shape_.service);
    return text;
  }

  void startBackends() {
    for (std::size_t number = 0; number < shape_.engines + shape_.services; ++number) {
      Backend backend;
      const bool engine = number < shape_.engines;
      backend.kind = engine ? object_api::MachineKind::kEngine : object_api::MachineKind::kService;
      const std::size_t index = engine ? number : number - shape_.engines;
      backend.id = (engine ? "e" : "s") + std::to_string(index + 1);
      backend.zone = zoneOf(index);
      backend.endpoint = Endpoint{"127.0.0.1", 0};
      startBackend(backend);
      backend.proxy = std::make_unique<Proxy>(backend.endpoint);
      list(backend, false);
      backends_.push_back(std::move(backend));
    }
  }

  /// Starts the process at its earlier address where it has one.
  void startBackend(Backend& backend) const {
    const bool engine = backend.kind == object_api::MachineKind::kEngine;
    std::vector<std::string> flags{"--listen", backend.endpoint.toString()};
    if (engine) {
      flags.insert(flags.end(), {"--prefill-tokens-per-second", "100000"});
    }
    backend.process = engine ? fleet_.startEngine(backend.id, flags, false)
                             : fleet_.startService(backend.id, flags, false);
    backend.endpoint = backend.process->endpoint(engine ? "engine" : "service");
  }

  void list(const Backend& backend, bool terminating) const {
    object_api::Machine machine;
    machine.id = BackendId(backend.id);
    machine.kind = backend.kind;
    machine.serves = backend.kind == object_api::MachineKind::kEngine ? "m" : shape_.service;
    machine.zone = ZoneId(backend.zone);
    machine.endpoint = backend.proxy->endpoint();
    machine.terminating = terminating;
    http::Request request;
    request.method = "PUT";
    request.target = "/machines/" + backend.id;
    request.body = object_api::toJson(machine);
    exchange(fleet_.machineList(), request).value();
  }

  void startRouter(Router& router) const {
    std::vector<std::string> arguments{
        "--node-id", router.id, "--zone", router.zone, "--listen", router.endpoint.toString(),
        "--peer-listen", router.peer.toString(), "--object-api", fleet_.store().toString(),
        "--machine-list", fleet_.machineList().toString(), "--trusted-signers",
        "alice=" + fleet_.alice.publicKeyHex + ",bob=" + fleet_.bob.publicKeyHex,
        // Quick enough for a run of seconds; a caller of the soak waits 6 s in silence at most.
        "--store-poll-interval-ms", "100", "--machine-list-interval-ms", "100",
        "--probe-interval-ms", "100", "--engine-header-timeout-ms", "3000",
        "--engine-token-timeout-ms", "2000"};
    std::string seeds;
    for (const Router& other : routers_) {
      if (other.id != router.id) {
        seeds += (seeds.empty() ? "" : ",") + other.peer.toString();
      }
    }
    if (!seeds.empty()) {
      arguments.insert(arguments.end(), {"--seeds", seeds});
    }
    router.process = std::make_unique<Process>("calicodrift", arguments, 2);
    router.endpoint = router.process->endpoint("router");
    router.peer = router.process->endpoint("peer");
  }

  boost::asio::awaitable<void> handle(http::Request& request, http::ResponseWriter& writer) {
    const std::string path(request.path());
    http::Response response = http::jsonResponse(200, "{}");
    if (path == "/fleet") {
      response.body = describe();
    } else if (path == "/strikes") {
      response.body = strikes();
    } else if (path == "/begin/submit_bundle" || path == "/begin/race_bundles") {
      const std::size_t writers = path == "/begin/race_bundles" ? 2 : 1;
      const std::uint64_t accepted = co_await submitBundles(writers);
      response.body = boost::json::serialize(boost::json::object{{"accepted_version", accepted}});
    } else if (!act(request)) {
      response = http::errorResponse(fail(ErrorKind::kUnknownRoute, "no such action: " + path));
    }
    co_await http::respond(writer, std::move(response));
  }

  bool act(const http::Request& request) {
    const std::string path(request.path());
    const bool begin = path.starts_with("/begin/");
    const std::string name = path.substr(path.rfind('/') + 1);
    const std::size_t target = std::stoul(request.queryValue("target"));
    for (std::size_t index = 0; index < bench::kFaultKindCount; ++index) {
      const bench::FaultRow& row = bench::faultRow(static_cast<bench::FaultKind>(index));
      if (row.name == name) {
        return actOn(row, target, begin);
      }
    }
    return false;
  }

  bool actOn(const bench::FaultRow& row, std::size_t target, bool begin) {
    switch (row.target) {
      case bench::FaultTarget::kEngine:
        return actOnBackend(row.kind, backends_.at(target), begin);
      case bench::FaultTarget::kService:
        return actOnBackend(row.kind, backends_.at(shape_.engines + target), begin);
      case bench::FaultTarget::kBackend:
        backends_.at(target).proxy->setFaults(
            begin ? proxyFaults(row.kind, backends_.at(target).kind) : "{}");
        return true;
      case bench::FaultTarget::kRouter:
        return actOnRouter(row.kind, routers_.at(target), begin);
      case bench::FaultTarget::kAllRouters:
        for (Router& router : routers_) {
          actOnRouter(bench::FaultKind::kKillRouter, router, begin);
        }
        return true;
      case bench::FaultTarget::kStore:
        post(fleet_.store(), "/faults", begin ? storeFaults(row.kind) : "{}").value();
        return true;
      case bench::FaultTarget::kNothing:
        return true;
    }
    return false;
  }

  bool actOnBackend(bench::FaultKind kind, Backend& backend, bool begin) {
    switch (kind) {
      case bench::FaultKind::kPauseEngine:
      case bench::FaultKind::kPauseService:
        backend.process->signal(begin ? SIGSTOP : SIGCONT);
        return true;
      case bench::FaultKind::kKillEngine:
        begin ? backend.process->killAtOnce() : startBackend(backend);
        return true;
      case bench::FaultKind::kEngineLeaves:
        if (!begin) {
          backend.process->killAtOnce();
          startBackend(backend);
        }
        list(backend, begin);
        return true;
      default:
        return false;
    }
  }

  bool actOnRouter(bench::FaultKind kind, Router& router, bool begin) const {
    switch (kind) {
      case bench::FaultKind::kPauseRouter:
        router.process->signal(begin ? SIGSTOP : SIGCONT);
        return true;
      case bench::FaultKind::kKillRouter:
        begin ? router.process->killAtOnce() : startRouter(router);
        return true;
      case bench::FaultKind::kPlannedStop:
        if (begin) {
          router.process->signal(SIGTERM);
          return true;
        }
        if (router.process->running()) {
          router.process->killAtOnce();
        }
        startRouter(router);
        return true;
      default:
        return false;
    }
  }

  static std::string proxyFaults(bench::FaultKind kind, object_api::MachineKind backend) {
    switch (kind) {
      case bench::FaultKind::kCutBackend:
        return R"({"refuse":true})";
      case bench::FaultKind::kFreezeBackend:
        return R"({"freeze":true})";
      case bench::FaultKind::kSwallowRequests:
        return R"({"swallow_requests":true})";
      case bench::FaultKind::kSwallowAnswers:
        return R"({"swallow_answers":true})";
      case bench::FaultKind::kDelayBackend:
        return R"({"delay_ms":100})";
      case bench::FaultKind::kDropAnswers:
        return R"({"drop_answers":4})";
      case bench::FaultKind::kCrossAnswers:
        return R"({"cross_answers":4})";
      default:
        // Within the stream of an engine; within the one answer of a service.
        return backend == object_api::MachineKind::kEngine ? R"({"cut_after_bytes":1500})"
                                                           : R"({"cut_after_bytes":300})";
    }
  }

  static std::string storeFaults(bench::FaultKind kind) {
    switch (kind) {
      case bench::FaultKind::kStoreDown:
        return R"({"down":true})";
      case bench::FaultKind::kStoreSlow:
        return R"({"delay_ms":800})";
      default:
        return R"({"lose_answers":4})";
    }
  }

  /// Operators who write at once on the same base; the store takes one of them. A lost answer is
  /// settled by reading back. @return the highest version that was seen to be stored.
  boost::asio::awaitable<std::uint64_t> submitBundles(std::size_t writers) {
    object_api::ObjectApiClient store(client_, fleet_.store());
    Result<object_api::StoredObject> base = co_await store.get("bundles", "current");
    if (!base) {
      co_return accepted_;
    }
    std::vector<std::string> texts;
    for (std::size_t writer = 0; writer < writers; ++writer) {
      object_api::StoredObject object = base.value();
      const std::string text = bundleText(++lastVersion_);
      object.spec = bundle::toJson(fleet_.signBoth(text));
      texts.push_back(text);
      const Result<object_api::StoredObject> written = co_await store.put(object);
      static_cast<void>(written);
    }
    Result<object_api::StoredObject> stored = co_await store.get("bundles", "current");
    if (stored) {
      const auto signedBundle = bundle::signedBundleFromJson(stored.value().spec);
      const auto bundle = bundle::parseBundle(signedBundle.value().text);
      accepted_ = std::max(accepted_, bundle.value().version.value());
    }
    co_return accepted_;
  }

  std::string describe() const {
    boost::json::object fleet{{"shape", shape_.name},
                              {"api_key", kTestApiKey},
                              {"model", "m"},
                              {"service_path", "/" + shape_.service + "/"}};
    boost::json::array routers;
    for (const Router& router : routers_) {
      routers.push_back(
          boost::json::object{{"id", router.id}, {"endpoint", router.endpoint.toString()}});
    }
    boost::json::array engines;
    boost::json::array services;
    for (const Backend& backend : backends_) {
      const bool engine = backend.kind == object_api::MachineKind::kEngine;
      (engine ? engines : services)
          .push_back(
              boost::json::object{{"id", backend.id}, {"endpoint", backend.endpoint.toString()}});
    }
    fleet["routers"] = routers;
    fleet["engines"] = engines;
    fleet["services"] = services;
    return boost::json::serialize(fleet);
  }

  /// Sums over the proxies of how often each fault struck.
  std::string strikes() const {
    std::map<std::string, std::int64_t> sums;
    for (const Backend& backend : backends_) {
      const boost::json::value stats = boost::json::parse(backend.proxy->stats());
      for (const auto& entry : stats.as_object()) {
        sums[std::string(entry.key())] += entry.value().to_number<std::int64_t>();
      }
    }
    return boost::json::serialize(boost::json::value_from(sums));
  }

  FleetShape shape_;
  Fleet fleet_;
  std::vector<Backend> backends_;
  std::vector<Router> routers_;
  std::uint64_t lastVersion_ = 1;
  std::uint64_t accepted_ = 1;
  boost::asio::io_context context_{1};
  http::Client client_;
  http::Server control_;
  Endpoint controlEndpoint_;
  std::thread thread_;
};

}  // namespace calicodrift::testing
