#pragma once

#include <cstddef>
#include <string>
#include <string_view>

#include "common/clock.h"
#include "peer/directory.h"

namespace calicodrift::lease {

/// Whether this node is one of the `count` candidates for a lease: the live nodes whose ids, hashed
/// with the name of the lease, rank lowest. Only a few nodes of a large fleet then read the lease,
/// and a dead candidate is replaced without any message. Nodes whose membership views differ for a
/// while cause a few more readers; mutual exclusion relies on the store alone.
bool isCandidate(const peer::PeerDirectory& directory, std::string_view lease, std::size_t count);

/// Caches isCandidate(), which iterates over all nodes of the fleet, for one second.
class Candidacy {
 public:
  Candidacy(const peer::PeerDirectory& directory, std::string lease, std::size_t count)
      : directory_(directory), lease_(std::move(lease)), count_(count) {}

  bool check(MonotonicTime now);

 private:
  const peer::PeerDirectory& directory_;
  std::string lease_;
  std::size_t count_;
  MonotonicTime nextCheck_{};
  bool candidate_ = false;
};

}  // namespace calicodrift::lease
