#include "server_limits/root_silence.h"

namespace calicodrift::server_limits {
namespace {

/// Failed calls further apart do not form one outage: the root may have answered other nodes in
/// between.
constexpr Milliseconds kMaxCallGap{1000};

}  // namespace

void RootSilence::noteFailure(const Endpoint& root, MonotonicTime now) {
  const auto [found, isNew] = outages_.try_emplace(root, Outage{now, now});
  if (!isNew && now - found->second.last > kMaxCallGap) {
    found->second.since = now;
  }
  found->second.last = now;
}

bool RootSilence::isSilent(const Endpoint& root, MonotonicTime now) const {
  const auto found = outages_.find(root);
  return found != outages_.end() && now - found->second.last < kRetryDelay;
}

bool RootSilence::isPresumedDead(const Endpoint& root, MonotonicTime now) const {
  const auto found = outages_.find(root);
  return found != outages_.end() && now - found->second.last <= kMaxCallGap &&
         now - found->second.since >= kTakeoverDelay;
}

}  // namespace calicodrift::server_limits
