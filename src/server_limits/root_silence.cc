#include "server_limits/root_silence.h"

namespace calicodrift::server_limits {
namespace {

/// What came of calls that lie further apart is not one silence: it may have answered others.
constexpr Milliseconds kLongestGap{1000};

}  // namespace

void RootSilence::noteFailure(const Endpoint& root, MonotonicTime now) {
  const auto [found, isNew] = silent_.try_emplace(root, Silence{now, now});
  if (!isNew && now - found->second.last > kLongestGap) {
    found->second.since = now;
  }
  found->second.last = now;
}

bool RootSilence::isSilent(const Endpoint& root, MonotonicTime now) const {
  const auto found = silent_.find(root);
  return found != silent_.end() && now - found->second.last < kPause;
}

bool RootSilence::isGone(const Endpoint& root, MonotonicTime now) const {
  const auto found = silent_.find(root);
  return found != silent_.end() && now - found->second.last <= kLongestGap &&
         now - found->second.since >= kTakeover;
}

}  // namespace calicodrift::server_limits
