#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <memory>
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
  boost::asio::awaitable<void> probe(platform::Machine machine);

  boost::asio::any_io_executor executor_;
  const NodeSettings& settings_;
  http::Client& client_;
  BackendTable& table_;
  /// Back ends whose probe has not been answered yet; no second one is sent meanwhile.
  std::set<BackendId> probing_;
};

}  // namespace calicodrift::router
