#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "common/clock.h"
#include "common/endpoint.h"

namespace calicodrift::relay {

/// Dependencies of a TreeBroadcaster. They must outlive the broadcaster and run on its thread.
struct TreeBroadcastContext {
  boost::asio::any_io_executor executor;
  /// The nodes to notify: the parent and children in the tree, and for a root the other roots.
  std::function<std::vector<Endpoint>()> neighbours;
  /// Version of the local state; increases with each change.
  std::function<std::uint64_t()> version;
  /// Sends the changes after `since` and merges the reply. The receiver replies once it has
  /// notified its own neighbours, or after `wait`. Returns whether the receiver applied the
  /// changes.
  std::function<boost::asio::awaitable<bool>(Endpoint neighbour, std::uint64_t since,
                                             Milliseconds wait, Milliseconds timeout)>
      send;
};

/// Broadcasts state changes through the relay tree. Each node sends its neighbours the changes that
/// they lack, and each of them notifies its own neighbours before it replies. A sender that has all
/// replies therefore knows that every reachable node has the changes. Nothing is sent while nothing
/// changes.
class TreeBroadcaster {
 public:
  explicit TreeBroadcaster(TreeBroadcastContext context) : context_(std::move(context)) {}

  /// Sends pending changes to all neighbours but `except` and waits up to `time` for their replies.
  boost::asio::awaitable<void> broadcast(Milliseconds time, std::string except = "");
  /// Sends pending changes without waiting for the replies.
  void broadcastAsync();
  /// Records that a neighbour has sent its state. If the neighbour had everything up to `before`,
  /// it also has what it has just sent.
  /// @param before the local version before the neighbour's state was merged.
  void onUpdateFrom(const std::string& neighbour, std::uint64_t before);
  /// Records that the neighbour has all changes up to `version`.
  void setAcknowledged(const std::string& neighbour, std::uint64_t version);
  /// Drops the records of nodes that are no longer neighbours.
  void pruneNeighbours();

  /// Time for a change to reach all nodes: several round trips through a tree of four levels.
  static constexpr Milliseconds kBroadcastTimeout{150};

 private:
  struct Peer {
    /// Last version that the neighbour has acknowledged.
    std::uint64_t acknowledged = 0;
    bool callInFlight = false;
    /// When a neighbour that did not answer is called again; callers do not wait for it before
    /// then.
    MonotonicTime retryAt{};
  };
  using TimerPointer = std::shared_ptr<boost::asio::steady_timer>;

  boost::asio::awaitable<void> push(Endpoint neighbour, Milliseconds time);

  TreeBroadcastContext context_;
  std::map<std::string, Peer> peers_;
  /// Woken when a call to a neighbour ends.
  std::list<TimerPointer> waiters_;
};

}  // namespace calicodrift::relay
