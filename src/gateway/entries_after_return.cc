#include "gateway/entries_after_return.h"

#include <algorithm>

namespace calicodrift::gateway {

void EntriesAfterReturn::onReturn(const store::Listing& listing, const KnownServers& known,
                                  MonotonicTime now) {
  forgetRemoved(now);
  outdated_.clear();
  std::set<BackendId> listed;
  for (const store::Object& object : listing.objects) {
    const BackendId id(object.name);
    listed.insert(id);
    const auto before = known.find(id);
    const bool drained = before != known.end() && before->second.server.draining;
    if (drained || removed_.contains(id)) {
      outdated_[id] = object.revision;
    }
  }
  for (const auto& [id, server] : known) {
    if (!listed.contains(id) && !server.server.draining) {
      missing_[id] = server;
    }
  }
  missingUntil_ = now + kMissingGrace;
}

void EntriesAfterReturn::onRemoved(const BackendId& id, MonotonicTime now) {
  onWritten(id);
  removed_[id] = now;
  if (removed_.size() >= forgetAt_) {
    forgetRemoved(now);
    forgetAt_ = std::max(kMinForgetAt, 2 * removed_.size());
  }
}

void EntriesAfterReturn::forgetRemoved(MonotonicTime now) {
  std::erase_if(removed_,
                [now](const auto& entry) { return now - entry.second > kRemovedRetention; });
}

void EntriesAfterReturn::onWritten(const BackendId& id) {
  outdated_.erase(id);
  missing_.erase(id);
  removed_.erase(id);
}

bool EntriesAfterReturn::isOutdated(const store::Object& object) {
  const auto found = outdated_.find(BackendId(object.name));
  if (found == outdated_.end()) {
    return false;
  }
  if (object.revision != found->second) {
    outdated_.erase(found);
    return false;
  }
  return true;
}

std::vector<BackendId> EntriesAfterReturn::takeExpired(MonotonicTime now) {
  std::vector<BackendId> expired;
  if (missing_.empty() || now < missingUntil_) {
    return expired;
  }
  for (const auto& [id, server] : missing_) {
    expired.push_back(id);
  }
  missing_.clear();
  return expired;
}

}  // namespace calicodrift::gateway
