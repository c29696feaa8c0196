#include "exchange/observation_table.h"

#include <algorithm>

namespace calicodrift::exchange {

using Seen = service_rollout::ObservationTable;

void ObservationTable::setChild(const std::string& node, Seen seen, MonotonicTime now) {
  children_[node] = {std::move(seen), now};
}

void ObservationTable::setParent(Seen seen, MonotonicTime now) {
  parent_ = Report{std::move(seen), now};
  groups_.clear();
}

void ObservationTable::setGroup(const std::string& root, Seen seen, MonotonicTime now) {
  groups_[root] = {std::move(seen), now};
}

Seen ObservationTable::children(const std::string& except, MonotonicTime now) const {
  Seen sum;
  for (const auto& [node, report] : children_) {
    if (node != except && isCurrent(report, now)) {
      add(sum, report, now);
    }
  }
  return sum;
}

Seen ObservationTable::outsideSubtree(MonotonicTime now) const {
  Seen sum;
  if (parent_ && isCurrent(*parent_, now)) {
    add(sum, *parent_, now);
    return sum;
  }
  for (const auto& [root, report] : groups_) {
    if (isCurrent(report, now)) {
      add(sum, report, now);
    }
  }
  return sum;
}

bool ObservationTable::hasOrders(MonotonicTime now) const {
  const auto hasEntries = [this, now](const Report& report) {
    return isCurrent(report, now) && !report.seen.empty();
  };
  const auto entryHasEntries = [&hasEntries](const auto& entry) {
    return hasEntries(entry.second);
  };
  return (parent_ && hasEntries(*parent_)) ||
         std::any_of(children_.begin(), children_.end(), entryHasEntries) ||
         std::any_of(groups_.begin(), groups_.end(), entryHasEntries);
}

void ObservationTable::expire(MonotonicTime now) {
  const auto expired = [this, now](const auto& entry) { return !isCurrent(entry.second, now); };
  std::erase_if(children_, expired);
  std::erase_if(groups_, expired);
}

void ObservationTable::add(Seen& sum, const Report& report, MonotonicTime now) {
  Seen aged = report.seen;
  for (auto& [order, seen] : aged) {
    seen.age += std::chrono::duration_cast<Milliseconds>(now - report.at);
  }
  service_rollout::addObservations(sum, aged);
}

}  // namespace calicodrift::exchange
