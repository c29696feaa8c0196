#pragma once

#include <cstdint>

#include "common/strong_type.h"
#include "fleet/server_load.h"

/// Rate limits that servers announce for the requests of all nodes together. All nodes learn them,
/// and each request to such a server takes a unit that is issued by one node.
namespace calicodrift::server_limits {

/// Number of changes of a server's known limit; greater is newer. 0: no limit known.
using LimitVersion = StrongType<struct LimitVersionTag, std::uint64_t>;

/// Known limit of one run of a server.
struct LimitRecord {
  fleet::ServerKey server;
  LimitVersion version;
  /// False if the server named a limit before and no longer does.
  bool limited = false;
  /// Requests per second over all nodes together; meaningless unless `limited`.
  double perSecond = 0;

  bool operator==(const LimitRecord&) const = default;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(server, version, limited, perSecond);
  }
};

}  // namespace calicodrift::server_limits
