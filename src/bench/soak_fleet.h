#pragma once

#include <boost/asio/awaitable.hpp>
#include <string>
#include <vector>

#include "bench/fault_schedule.h"
#include "common/endpoint.h"
#include "common/error.h"
#include "common/ids.h"
#include "http/client.h"

namespace calicodrift::bench {

/// One process of the fleet under test, at its own address (not its proxy's).
struct FleetMember {
  std::string id;
  Endpoint endpoint;
};

/// The fleet under test, as its control port describes it.
struct FleetDescription {
  std::string shape;
  std::string apiKey;
  std::string model;
  std::string servicePath;
  std::vector<FleetMember> routers;
  std::vector<FleetMember> engines;
  std::vector<FleetMember> services;

  FleetSizes sizes() const { return {engines.size(), services.size(), routers.size()}; }
};

/// What the fleet answered to an action.
struct ActionResult {
  /// The highest bundle version that the store has accepted; 0 for other actions.
  BundleVersion accepted;
};

/// Client of the fleet's control port: GET /fleet, POST /begin/FAULT?target=N, POST /end/FAULT and
/// GET /strikes. The fleet starts and ends the processes; the bench starts none.
class FleetControl {
 public:
  FleetControl(http::Client& client, Endpoint endpoint);

  /// Fails with the exchange's error or kProtocolViolation.
  boost::asio::awaitable<Result<FleetDescription>> describe();
  boost::asio::awaitable<Result<ActionResult>> begin(FaultEvent event);
  boost::asio::awaitable<Result<ActionResult>> end(FaultEvent event);
  /// JSON object of how often each proxy fault struck a connection.
  boost::asio::awaitable<Result<std::string>> strikes();

 private:
  boost::asio::awaitable<Result<std::string>> call(std::string method, std::string target);
  boost::asio::awaitable<Result<ActionResult>> act(std::string verb, FaultEvent event);

  http::Client& client_;
  Endpoint endpoint_;
};

}  // namespace calicodrift::bench
