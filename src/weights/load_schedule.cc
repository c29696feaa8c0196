#include "weights/load_schedule.h"

#include <algorithm>

namespace calicodrift::weights {

void LoadSchedule::clear() {
  announced_.clear();
  ordered_.clear();
}

void LoadSchedule::update(const std::vector<DueServer>& due, std::size_t maxLoads,
                          MonotonicTime now) {
  std::set<BackendId> wanted;
  for (const DueServer& server : due) {
    wanted.insert(server.id);
  }
  std::erase_if(announced_,
                [&wanted](const auto& announced) { return !wanted.contains(announced.first); });
  std::size_t slots = freeSlots(maxLoads, now);
  for (const DueServer& server : due) {
    const MonotonicTime from = server.idle ? now : now + settings_.lead;
    const auto known = announced_.find(server.id);
    if (known != announced_.end()) {
      known->second = std::min(known->second, from);
    } else if (slots > 0 && !ordered_.contains(server.id)) {
      announced_.emplace(server.id, from);
      --slots;
    }
  }
}

std::size_t LoadSchedule::freeSlots(std::size_t maxLoads, MonotonicTime now) const {
  // A load frees its slot for the next announcement once it is old enough to end at about the end
  // of that announcement's lead.
  const Milliseconds releaseAge = std::max(Milliseconds(0), loadTime_ - settings_.lead);
  const auto occupied = static_cast<std::size_t>(std::count_if(
      ordered_.begin(), ordered_.end(),
      [releaseAge, now](const auto& ordered) { return now - ordered.second.since < releaseAge; }));
  const std::size_t busy = announced_.size() + occupied;
  return maxLoads - std::min(maxLoads, busy);
}

bool LoadSchedule::mayOrder(const BackendId& server, MonotonicTime now) const {
  const auto announced = announced_.find(server);
  return announced != announced_.end() && now >= announced->second;
}

void LoadSchedule::onOrdered(const BackendId& server, MonotonicTime now) {
  announced_.erase(server);
  ordered_[server] = {now, true};
}

void LoadSchedule::onLoadObserved(const BackendId& server, MonotonicTime now) {
  announced_.erase(server);
  ordered_.try_emplace(server, Load{now, false});
}

void LoadSchedule::onGone(const BackendId& server) {
  announced_.erase(server);
  ordered_.erase(server);
}

void LoadSchedule::onLoaded(const BackendId& server, MonotonicTime now) {
  const auto ordered = ordered_.find(server);
  if (ordered == ordered_.end()) {
    return;
  }
  const Load load = ordered->second;
  ordered_.erase(ordered);
  if (!load.measured) {
    return;
  }
  /// The latest load contributes 1/4 to the moving average.
  constexpr int kSmoothingDivisor = 4;
  const auto seen = std::chrono::duration_cast<Milliseconds>(now - load.since);
  loadTime_ += (seen - loadTime_) / kSmoothingDivisor;
}

std::vector<BackendId> LoadSchedule::ordered() const {
  std::vector<BackendId> servers;
  servers.reserve(ordered_.size());
  for (const auto& [server, load] : ordered_) {
    servers.push_back(server);
  }
  return servers;
}

std::set<BackendId> LoadSchedule::reserved() const {
  std::set<BackendId> servers;
  for (const auto& [server, at] : announced_) {
    servers.insert(server);
  }
  for (const auto& [server, load] : ordered_) {
    servers.insert(server);
  }
  return servers;
}

}  // namespace calicodrift::weights
