#include "relay/child_table.h"

#include <algorithm>

namespace calicodrift::relay {

bool ChildTable::admit(const NodeId& node, const Relay& relay, MonotonicTime now) {
  expire(now);
  if (!children_.contains(node) && children_.size() >= capacity_) {
    return false;
  }
  children_[node] = {relay, now};
  return true;
}

bool ChildTable::renew(const NodeId& node, MonotonicTime now) {
  const auto found = children_.find(node);
  if (found == children_.end() || isExpired(found->second, now)) {
    return false;
  }
  found->second.askedAt = now;
  return true;
}

std::size_t ChildTable::size(MonotonicTime now) const {
  return static_cast<std::size_t>(
      std::count_if(children_.begin(), children_.end(),
                    [this, now](const auto& child) { return !isExpired(child.second, now); }));
}

std::vector<Endpoint> ChildTable::endpoints(MonotonicTime now) const {
  std::vector<Endpoint> found;
  for (const auto& [node, child] : children_) {
    if (!isExpired(child, now)) {
      found.push_back(child.relay.endpoint);
    }
  }
  return found;
}

std::vector<Relay> ChildTable::sample(std::size_t most, const ZoneId& zone, const Endpoint& except,
                                      MonotonicTime now, std::mt19937_64& random) const {
  std::vector<Relay> found;
  for (const auto& [node, child] : children_) {
    if (!isExpired(child, now) && child.relay.endpoint != except) {
      found.push_back(child.relay);
    }
  }
  shuffleByZone(found, zone, random);
  if (found.size() > most) {
    found.erase(found.begin() + static_cast<std::ptrdiff_t>(most), found.end());
  }
  return found;
}

void ChildTable::expire(MonotonicTime now) {
  std::erase_if(children_, [this, now](const auto& child) { return isExpired(child.second, now); });
}

void shuffleByZone(std::vector<Relay>& relays, const ZoneId& zone, std::mt19937_64& random) {
  std::shuffle(relays.begin(), relays.end(), random);
  std::stable_partition(relays.begin(), relays.end(),
                        [&zone](const Relay& relay) { return relay.zone == zone; });
}

}  // namespace calicodrift::relay
