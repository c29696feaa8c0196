#pragma once

#include <cstddef>
#include <map>
#include <optional>
#include <random>
#include <vector>

#include "common/clock.h"
#include "common/ids.h"
#include "relay/relay_list.h"

namespace calicodrift::relay {

/// The nodes that read the store through this one.
///
/// Invariant: at most `capacity` of them have called within the last `timeout`. A child that has
/// not called for longer loses its place, and so does one that can have fewer children than another
/// node that asks for a place of a full table: nodes that can carry many others then stand near the
/// root, and the tree is flat.
class ChildTable {
 public:
  ChildTable(std::size_t capacity, Milliseconds timeout) : capacity_(capacity), timeout_(timeout) {}

  /// Adds or renews the child. Returns false if the node is not yet a child, the table is full and
  /// none of the children can have fewer children than the node.
  /// @param places maximum number of children of the node; 0 if unknown.
  bool admit(const NodeId& node, const Relay& relay, std::size_t places, MonotonicTime now);
  /// Renews the child for another timeout. Returns false if the node is not a child.
  bool renew(const NodeId& node, MonotonicTime now);
  std::size_t size(MonotonicTime now) const;
  /// Addresses of all children.
  std::vector<Endpoint> endpoints(MonotonicTime now) const;
  /// One of the children with the most places, at random among those in `zone` if there are any;
  /// empty if there are no children.
  std::optional<Relay> strongest(const ZoneId& zone, MonotonicTime now,
                                 std::mt19937_64& random) const;
  /// At most `most` children other than `except`: children in `zone` first, then those with the
  /// most places, at random among equals.
  std::vector<Relay> sample(std::size_t most, const ZoneId& zone, const Endpoint& except,
                            MonotonicTime now, std::mt19937_64& random) const;

 private:
  struct Child {
    Relay relay;
    MonotonicTime askedAt{};
    std::size_t places = 0;
  };

  bool isExpired(const Child& child, MonotonicTime now) const {
    return now - child.askedAt > timeout_;
  }
  void expire(MonotonicTime now);
  /// Removes a child with fewer places than `places`. Returns whether there was one.
  bool displace(std::size_t places);

  std::size_t capacity_;
  Milliseconds timeout_;
  std::map<NodeId, Child> children_;
};

/// Shuffles the relays and moves those in `zone` to the front.
void shuffleByZone(std::vector<Relay>& relays, const ZoneId& zone, std::mt19937_64& random);

}  // namespace calicodrift::relay
