#include "rollout/load_schedule.h"

#include <algorithm>

namespace calicodrift::rollout {

void LoadSchedule::clear() {
  announcedAt_.clear();
  orderedAt_.clear();
}

void LoadSchedule::update(const std::vector<BackendId>& due, std::size_t room, MonotonicTime now) {
  const std::set<BackendId> wanted(due.begin(), due.end());
  std::erase_if(announcedAt_,
                [&wanted](const auto& announced) { return !wanted.contains(announced.first); });
  std::size_t places = freePlaces(room, now);
  for (const BackendId& server : due) {
    if (places == 0) {
      break;
    }
    if (!orderedAt_.contains(server) && announcedAt_.emplace(server, now).second) {
      --places;
    }
  }
}

std::size_t LoadSchedule::freePlaces(std::size_t room, MonotonicTime now) const {
  // A load gives its place to the next server's announcement when it is so old that it ends about
  // when the lead is over.
  const Milliseconds releaseAge = std::max(Milliseconds(0), loadTime_ - settings_.lead);
  const auto taken = static_cast<std::size_t>(std::count_if(
      orderedAt_.begin(), orderedAt_.end(),
      [releaseAge, now](const auto& ordered) { return now - ordered.second < releaseAge; }));
  const std::size_t busy = announcedAt_.size() + taken;
  return room - std::min(room, busy);
}

bool LoadSchedule::mayOrder(const BackendId& server, MonotonicTime now) const {
  const auto announced = announcedAt_.find(server);
  return announced != announcedAt_.end() && now - announced->second >= settings_.lead;
}

void LoadSchedule::onOrdered(const BackendId& server, MonotonicTime now) {
  announcedAt_.erase(server);
  orderedAt_[server] = now;
}

void LoadSchedule::onLoaded(const BackendId& server, MonotonicTime now) {
  const auto ordered = orderedAt_.find(server);
  if (ordered == orderedAt_.end()) {
    return;
  }
  /// Weight of the latest load among those seen.
  constexpr int kLatestShare = 4;
  const auto seen = std::chrono::duration_cast<Milliseconds>(now - ordered->second);
  loadTime_ += (seen - loadTime_) / kLatestShare;
  orderedAt_.erase(ordered);
}

std::vector<BackendId> LoadSchedule::ordered() const {
  std::vector<BackendId> servers;
  servers.reserve(orderedAt_.size());
  for (const auto& [server, at] : orderedAt_) {
    servers.push_back(server);
  }
  return servers;
}

std::set<BackendId> LoadSchedule::reserved() const {
  std::set<BackendId> servers;
  for (const auto& [server, at] : announcedAt_) {
    servers.insert(server);
  }
  for (const auto& [server, at] : orderedAt_) {
    servers.insert(server);
  }
  return servers;
}

}  // namespace calicodrift::rollout
