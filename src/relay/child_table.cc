#include "relay/child_table.h"

#include <algorithm>

namespace calicodrift::relay {

bool ChildTable::admit(const NodeId& node, const Relay& relay, std::size_t places,
                       MonotonicTime now) {
  expire(now);
  if (!children_.contains(node) && children_.size() >= capacity_ && !displace(places)) {
    return false;
  }
  children_[node] = {relay, now, places};
  return true;
}

bool ChildTable::displace(std::size_t places) {
  const auto weakest = std::min_element(
      children_.begin(), children_.end(),
      [](const auto& one, const auto& two) { return one.second.places < two.second.places; });
  if (weakest == children_.end() || weakest->second.places >= places) {
    return false;
  }
  children_.erase(weakest);
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

std::optional<Relay> ChildTable::strongest(const ZoneId& zone, MonotonicTime now,
                                           std::mt19937_64& random) const {
  std::vector<Relay> found;
  std::size_t most = 0;
  for (const auto& [node, child] : children_) {
    if (isExpired(child, now) || child.places < most) {
      continue;
    }
    if (child.places > most) {
      found.clear();
      most = child.places;
    }
    found.push_back(child.relay);
  }
  if (found.empty()) {
    return std::nullopt;
  }
  shuffleByZone(found, zone, random);
  return found.front();
}

std::vector<Relay> ChildTable::sample(std::size_t most, const ZoneId& zone, const Endpoint& except,
                                      MonotonicTime now, std::mt19937_64& random) const {
  std::vector<Child> found;
  for (const auto& [node, child] : children_) {
    if (!isExpired(child, now) && child.relay.endpoint != except) {
      found.push_back(child);
    }
  }
  std::shuffle(found.begin(), found.end(), random);
  std::stable_sort(found.begin(), found.end(), [&zone](const Child& one, const Child& two) {
    const bool near = one.relay.zone == zone;
    return near != (two.relay.zone == zone) ? near : one.places > two.places;
  });
  found.resize(std::min(found.size(), most));
  std::vector<Relay> relays;
  relays.reserve(found.size());
  for (const Child& child : found) {
    relays.push_back(child.relay);
  }
  return relays;
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
