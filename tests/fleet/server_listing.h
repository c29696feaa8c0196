#pragma once

#include <set>
#include <vector>

#include "fleet/server_pool.h"

namespace calicodrift::fleet {

/// Replaces the pool's list by these servers and by the withheld ones, as a reader of the list
/// does.
inline void applyListing(ServerPool& pool, const std::vector<Server>& servers, MonotonicTime now,
                         const std::set<BackendId>& withheld = {}) {
  std::set<BackendId> listed = withheld;
  for (const BackendId& id : withheld) {
    pool.withhold(id, now);
  }
  for (const Server& server : servers) {
    listed.insert(server.id);
    pool.apply(server, now);
  }
  pool.removeUnlisted(listed);
}

}  // namespace calicodrift::fleet
