#pragma once

#include <boost/json.hpp>
#include <memory>
#include <string>
#include <vector>

#include "support/fleet.h"

namespace calicodrift::testing {

/// A fleet whose engines fetch weights from one weight store, with short leases.
struct RolloutFleet {
  RolloutFleet(std::size_t engineCount, int loadTimeMs, int failLoads = 0)
      : weightStore("calicodrift-sim",
                    {"weight-store", "--full-speed-loads", "2", "--load-time-ms",
                     std::to_string(loadTimeMs), "--fail-loads", std::to_string(failLoads)},
                    1) {
    fleet.submitBundle(Fleet::bundleText(1));
    for (std::size_t index = 0; index < engineCount; ++index) {
      engines.push_back(startEngine("e" + std::to_string(index)));
    }
  }

  std::unique_ptr<Process> startEngine(const std::string& id) const {
    return fleet.startEngine(id,
                             {"--weight-store", weightStore.endpoint("weight-store").toString()});
  }
  std::unique_ptr<Process> startRouter(const std::string& id) const {
    return fleet.startRouter(id, leaseFlags());
  }
  static std::vector<std::string> leaseFlags() {
    return {"--order-lease-duration-ms", "1000", "--order-lease-renew-ms",    "200",
            "--order-interval-ms",       "20",   "--weights-load-timeout-ms", "3000"};
  }
  /// Asks for weights `weights` in bundle `version`.
  void rollOut(std::uint64_t version, std::uint64_t weights) const {
    fleet.submitBundle(Fleet::bundleText(version, "RoundRobin", weights));
  }

  static boost::json::object json(const Endpoint& endpoint, const std::string& path) {
    const auto response = get(endpoint, path);
    return response ? boost::json::parse(response.value().body).as_object() : boost::json::object{};
  }
  static std::uint64_t number(const boost::json::object& object, std::string_view key) {
    const boost::json::value* value = object.if_contains(key);
    return value == nullptr ? 0 : value->to_number<std::uint64_t>();
  }
  boost::json::object health(std::size_t engine) const {
    return json(engines[engine]->endpoint("engine"), "/health");
  }
  std::uint64_t storeCount(std::string_view key) const {
    return number(json(weightStore.endpoint("weight-store"), "/stats"), key);
  }
  static bool holdsLease(const Process& router) {
    const auto status = json(router.endpoint("router"), "/admin/orders");
    const boost::json::value* holds = status.if_contains("holds_lease");
    return holds != nullptr && holds->as_bool();
  }
  std::size_t enginesAt(std::uint64_t weights) const {
    std::size_t count = 0;
    for (std::size_t index = 0; index < engines.size(); ++index) {
      count += number(health(index), "weights_version") == weights ? 1 : 0;
    }
    return count;
  }
  bool allAt(std::uint64_t weights) const { return enginesAt(weights) == engines.size(); }

  Fleet fleet;
  Process weightStore;
  std::vector<std::unique_ptr<Process>> engines;
};

}  // namespace calicodrift::testing
