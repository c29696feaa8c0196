#include "server_paths/path_table.h"

#include <algorithm>

namespace calicodrift::server_paths {

bool PathTable::isLost(const Endpoint& server) const {
  const auto found = entries_.find(server);
  return found != entries_.end() && found->second.lost;
}

Milliseconds PathTable::holdOff(std::size_t flaps) const {
  // The bound keeps the shift small; maxHoldOff is reached before it.
  constexpr std::size_t kMaxDoublings = 10;
  const auto factor = std::int64_t{1} << std::min(flaps - 1, kMaxDoublings);
  return std::min(settings_.firstHoldOff * factor, settings_.maxHoldOff);
}

bool PathTable::recordLost(const Endpoint& server, MonotonicTime now) {
  Entry& entry = entries_[server];
  if (entry.lost) {
    return false;
  }
  if (!suspectSince(now)) {
    firstLossAt_ = now;
  }
  lastLossAt_ = now;
  const bool flapped =
      entry.regainedAt != MonotonicTime{} && now - entry.regainedAt < settings_.stableTime;
  entry.flaps = flapped ? entry.flaps + 1 : 0;
  entry.heldOffUntil = flapped ? now + holdOff(entry.flaps) : now;
  entry.lost = true;
  entry.nextProbe = now + settings_.probeInterval;
  ++lostCount_;
  return true;
}

bool PathTable::recordWorking(const Endpoint& server, MonotonicTime now) {
  const auto found = entries_.find(server);
  if (found == entries_.end() || !found->second.lost || now < found->second.heldOffUntil) {
    return false;
  }
  found->second.lost = false;
  found->second.regainedAt = now;
  --lostCount_;
  for (auto& [endpoint, entry] : entries_) {
    entry.nextProbe = entry.lost ? now : entry.nextProbe;
  }
  return true;
}

std::vector<Endpoint> PathTable::takeDueProbes(std::size_t most, MonotonicTime now) {
  std::vector<Endpoint> due;
  for (auto& [endpoint, entry] : entries_) {
    if (due.size() == most) {
      break;
    }
    if (entry.lost && entry.nextProbe <= now) {
      entry.nextProbe = now + settings_.probeInterval;
      due.push_back(endpoint);
    }
  }
  return due;
}

std::optional<MonotonicTime> PathTable::suspectSince(MonotonicTime now) const {
  const bool recent = lastLossAt_ != MonotonicTime{} && now - lastLossAt_ < settings_.suspicionTime;
  return recent ? std::optional(firstLossAt_) : std::nullopt;
}

void PathTable::retain(const std::function<bool(const Endpoint&)>& listed) {
  std::erase_if(entries_, [&](const auto& item) {
    const bool removed = !listed(item.first);
    lostCount_ -= removed && item.second.lost ? 1 : 0;
    return removed;
  });
}

}  // namespace calicodrift::server_paths
