#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>
#include <map>
#include <optional>
#include <random>

#include "relay/relay_list.h"
#include "relay/relay_server.h"
#include "relay/relayed_store.h"

namespace calicodrift::relay {

/// Decides whether this node reads the store itself and serves followers, or follows a relay of its
/// group, one of its own zone where there is one. A node that has no relay reads the store itself
/// meanwhile, so that the decision is never waited for.
class RelayNode {
 public:
  RelayNode(boost::asio::any_io_executor executor, store::ObjectStore& direct, http::Client& client,
            RelaySettings settings);

  /// Answers followers at kViewPath of this node's address.
  boost::asio::awaitable<void> handle(http::Request& request, http::ResponseWriter& writer) {
    return server_.handle(request, writer);
  }
  void start();
  /// Sends followers away and takes this node off the list.
  boost::asio::awaitable<void> stop();
  store::ObjectStore& store() { return store_; }
  /// Whether this node reads the store itself now.
  bool readsStore() const { return !store_.relay().has_value(); }
  /// Whether this node is, or wants to be, a relay.
  bool isRelay() const { return role_ == Role::kRelay; }
  /// The relay that this node follows.
  const std::optional<Endpoint>& relay() const { return store_.relay(); }
  /// As a relay: the relays of all groups, without this node, as last read.
  const std::vector<Endpoint>& otherRelays() const { return otherRelays_; }

 private:
  enum class Role { kUndecided, kFollower, kRelay };

  boost::asio::awaitable<void> run();
  boost::asio::awaitable<void> decide();
  /// Adds this node to the list as it was read.
  boost::asio::awaitable<void> claim(RelayList list);
  /// As a relay: who the others are, and whether this one is still needed.
  boost::asio::awaitable<void> review();
  /// Until the next review is due: soon where a follower was sent away.
  boost::asio::awaitable<void> awaitReview();
  void onFollowerSentAway();
  boost::asio::awaitable<void> pause(Milliseconds time);
  void becomeRelay();
  void follow(const Endpoint& relay);
  void onRelayFailed(const Endpoint& relay, const Error& cause);
  /// A listed relay that has not failed lately.
  std::optional<Endpoint> usableRelay(const RelayList& list) const;
  Milliseconds randomDelay(Milliseconds longest);

  struct Failure {
    MonotonicTime at{};
    /// It serves, but not this node.
    bool full = false;
  };

  boost::asio::any_io_executor executor_;
  RelaySettings settings_;
  RelayedStore store_;
  RelayServer server_;
  RelayListStore lists_;
  boost::asio::steady_timer timer_;
  std::mt19937_64 random_;
  Role role_ = Role::kUndecided;
  bool stopped_ = false;
  /// Another relay may have taken this node's place in the list.
  bool maybeReplaced_ = false;
  /// Whether the delay before a claim has passed in this search.
  bool delayed_ = false;
  std::map<Endpoint, Failure> failures_;
  std::vector<Endpoint> otherRelays_;
};

}  // namespace calicodrift::relay
