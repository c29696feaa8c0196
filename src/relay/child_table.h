#pragma once

#include <cstddef>
#include <map>
#include <random>
#include <vector>

#include "common/clock.h"
#include "common/ids.h"
#include "relay/relay_list.h"

namespace calicodrift::relay {

/// The nodes that read the store through this one.
///
/// Invariant: at most `capacity` of them have called within the last `timeout`. A child that has
/// not called for longer loses its place.
class ChildTable {
 public:
  ChildTable(std::size_t capacity, Milliseconds timeout) : capacity_(capacity), timeout_(timeout) {}

  /// Adds or renews the child. Returns false if the node is not yet a child and the table is full.
  bool admit(const NodeId& node, const Relay& relay, MonotonicTime now);
  /// Renews the child for another timeout. Returns false if the node is not a child.
  bool renew(const NodeId& node, MonotonicTime now);
  std::size_t size(MonotonicTime now) const;
  /// Addresses of all children.
  std::vector<Endpoint> endpoints(MonotonicTime now) const;
  /// A random sample of at most `most` children other than `except`, children in `zone` first.
  std::vector<Relay> sample(std::size_t most, const ZoneId& zone, const Endpoint& except,
                            MonotonicTime now, std::mt19937_64& random) const;

 private:
  struct Child {
    Relay relay;
    MonotonicTime askedAt{};
  };

  bool isExpired(const Child& child, MonotonicTime now) const {
    return now - child.askedAt > timeout_;
  }
  void expire(MonotonicTime now);

  std::size_t capacity_;
  Milliseconds timeout_;
  std::map<NodeId, Child> children_;
};

/// Shuffles the relays and moves those in `zone` to the front.
void shuffleByZone(std::vector<Relay>& relays, const ZoneId& zone, std::mt19937_64& random);

}  // namespace calicodrift::relay
