#include "server_paths/tunnel_ends.h"

namespace calicodrift::server_paths {

void TunnelEnds::record(http::TunnelId id, MonotonicTime now) {
  if (!ids_.insert(id).second) {
    return;
  }
  ends_.push_back({id, now});
  if (ends_.size() > kMaxEnds) {
    forgetOldest();
  }
}

bool TunnelEnds::endedByServer(http::TunnelId id, MonotonicTime now) {
  while (!ends_.empty() && now - ends_.front().at > kRetention) {
    forgetOldest();
  }
  return ids_.contains(id);
}

void TunnelEnds::forgetOldest() {
  ids_.erase(ends_.front().id);
  ends_.pop_front();
}

}  // namespace calicodrift::server_paths
