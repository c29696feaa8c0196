#pragma once

#include "server_paths/server_paths.h"

namespace calicodrift::testing {

/// Paths of a node that knows no others, so that all of them are direct.
class DirectPaths {
 public:
  DirectPaths(boost::asio::any_io_executor executor, http::Client& client)
      : paths({std::move(executor), client, metrics_, [] { return std::vector<Endpoint>(); },
               [](const Endpoint&) { return true; },
               [](const Endpoint&) { return std::optional<http::Request>(); },
               [](const Endpoint&) {}, [](const Endpoint&) {}},
              {}, 1) {}

 private:
  prometheus::Registry registry_;
  server_paths::ServerPathMetrics metrics_{registry_};

 public:
  server_paths::ServerPaths paths;
};

}  // namespace calicodrift::testing
