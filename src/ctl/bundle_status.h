#pragma once

#include <boost/asio/awaitable.hpp>
#include <optional>
#include <string>
#include <vector>

#include "ctl/bundle_commands.h"
#include "http/client.h"

namespace calicodrift::ctl {

/// What one router says of its configuration.
struct RouterStatus {
  Endpoint router;
  bool reachable = false;
  std::string node;
  std::string zone;
  /// 0 where none is in force.
  std::uint64_t version = 0;
  bool vouched = false;
  bool watcher = false;
  std::optional<std::int64_t> confirmationAgeMs;
};

boost::asio::awaitable<std::vector<RouterStatus>> readStatus(http::Client& client,
                                                             std::vector<Endpoint> routers);

/// The table or JSON of every router's status. With a version to wait for, returns once all routers
/// have it or a later one in force, and fails with kDeadlineExceeded naming those that don't.
boost::asio::awaitable<Result<std::string>> status(http::Client& client, CtlSettings settings);

}  // namespace calicodrift::ctl
