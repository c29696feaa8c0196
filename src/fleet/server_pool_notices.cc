// What servers say of themselves in their answers, which outlives their entries in the list.

#include <algorithm>

#include "fleet/server_pool.h"

namespace calicodrift::fleet {

bool ServerPool::noteLeaving(ServerKey run, MonotonicTime now) {
  if (!leaving_.note(run)) {
    return false;
  }
  const auto found = std::find_if(servers_.begin(), servers_.end(),
                                  [run](const auto& item) { return item.second.key == run; });
  if (found != servers_.end() && !found->second.server.draining) {
    Entry& entry = found->second;
    entry.server.draining = true;
    refresh(entry, now);
    listener_(entry.server, ServerLoss::kDraining);
  }
  return true;
}

void ServerPool::forgetNotices(Milliseconds provenFor) {
  if (!leaving_.empty()) {
    leaving_.forgetGone([this](ServerKey run) { return findRun(run) != nullptr; }, provenFor);
  }
}

}  // namespace calicodrift::fleet
