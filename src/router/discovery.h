#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <map>
#include <memory>
#include <random>
#include <set>

#include "http/client.h"
#include "router/backend_table.h"
#include "router/node_settings.h"

namespace calicodrift::router {

/// Keeps the backend table current: reads the machine list and probes each back end.
class Discovery {
 public:
  Discovery(boost::asio::any_io_executor executor, const NodeSettings& settings,
            http::Client& client, BackendTable& table);
  /// Starts the background work on the executor.
  void start();

 private:
  boost::asio::awaitable<void> readMachineLists();
  boost::asio::awaitable<void> probeAll();
  boost::asio::awaitable<void> probe(object_api::Machine machine);
  /// Probes at once what the list newly names, so that a fresh node serves after one round trip.
  void probeNew();
  void startProbe(const object_api::Machine& machine);
  /// The interval give or take a tenth, so that nodes which started together drift apart.
  Milliseconds jittered(Milliseconds interval);

  boost::asio::any_io_executor executor_;
  const NodeSettings& settings_;
  http::Client& client_;
  BackendTable& table_;
  /// Back ends whose probe has not been answered yet; no second one is sent meanwhile.
  std::set<BackendId> probing_;
  /// Addresses of the last list that was read.
  std::map<BackendId, Endpoint> listed_;
  std::mt19937_64 random_{std::random_device{}()};
};

}  // namespace calicodrift::router
