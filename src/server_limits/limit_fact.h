#pragma once

#include <cstdint>

#include "common/strong_type.h"
#include "fleet/server_load.h"

/// Servers that say how many requests a second they take from all nodes together: what they say is
/// known to all nodes, and each request to such a server takes a unit that one node gives out.
namespace calicodrift::server_limits {

/// Counts the changes of what is known of one server's limit; greater is newer. 0: none known.
using LimitVersion = StrongType<struct LimitVersionTag, std::uint64_t>;

/// What is known of the limit of one run of a server.
struct LimitFact {
  fleet::ServerKey server;
  LimitVersion version;
  /// False where the server named a limit before and names none any more.
  bool limited = false;
  /// Requests a second over all nodes together; of no meaning unless `limited`.
  double perSecond = 0;

  bool operator==(const LimitFact&) const = default;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(server, version, limited, perSecond);
  }
};

}  // namespace calicodrift::server_limits
