#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "relay/relay_core.h"
#include "relay/relay_list.h"
#include "relay/relay_server.h"
#include "relay/relayed_store.h"
#include "relay/view_guard.h"

namespace calicodrift::relay {

/// Keeps this node's place in the tree of its group: carries out what the core decides, and reads
/// the store's kinds from wherever that is. Runs on one thread.
class RelayNode {
 public:
  RelayNode(boost::asio::any_io_executor executor, store::ObjectStore& direct, http::Client& client,
            RelaySettings settings);

  /// Answers other nodes at kViewPath and kJoinPath of this node's address.
  boost::asio::awaitable<void> handle(http::Request& request, http::ResponseWriter& writer);
  void start();
  /// Sends children away and takes this node off the list of roots.
  boost::asio::awaitable<void> stop();
  RelayedStore& store() { return store_; }
  /// Called when views are read from another source than before, or were read from the store
  /// besides.
  void onSourceChanged(std::function<void()> listener) { onSourceChanged_ = std::move(listener); }
  /// Told of each read of the list of roots that can't be read.
  void onUnreadableList(std::function<void(const store::Object&, const Error&)> listener) {
    lists_.onUnreadable(std::move(listener));
  }
  /// Whether this node reads the store itself now.
  bool readsStore() const { return store_.readsDirectly(); }
  /// Whether this node is a root of the tree.
  bool isRelay() const { return !alone() && core_.role() == RelayRole::kRoot; }
  /// Whether this node alone may give away a root's part of what all roots share. Keeps that
  /// proven by readings of the list for as long as it is asked every RelayCore::kConfirmTerm.
  bool mayGrant();
  /// When former roots have stopped giving away what this node may give now.
  MonotonicTime settledAt() const { return core_.settledAt(); }
  /// The relay that this node follows.
  std::optional<Endpoint> relay() const { return core_.parent(); }
  /// As a root: the other ones, as last read.
  std::vector<Endpoint> otherRelays() const;
  /// The roots of the tree but this node, as last heard, whatever this node's place.
  std::vector<Endpoint> roots() const;
  /// The roots of the newest list that this node was told of, this node too where it is one.
  std::vector<Endpoint> newestRoots() const;
  /// Nodes that follow this one.
  std::vector<Endpoint> children() const { return core_.childEndpoints(monotonicNow()); }
  /// Whether this node answers for the whole group: no other node can reach it, or it is the only
  /// root and has no children.
  bool isWholeTree() const;

 private:
  /// Whether no other node can reach this one.
  bool alone() const { return settings_.endpoint.port == 0; }
  boost::asio::awaitable<void> run();
  boost::asio::awaitable<void> carryOut(RelayAction action);
  boost::asio::awaitable<void> wait(MonotonicTime until);
  /// Reads kinds from the store where their views have grown old, for as long as the node runs.
  boost::asio::awaitable<void> keepViewsYoung();
  /// The pauses of keepViewsYoung().
  struct Guards {
    /// When any kind is due, and the pause after a round in which the store did not answer.
    ViewGuard store;
    /// The pause after a failed call for the kind alone.
    std::map<std::string, ViewGuard> kinds;
    /// In which kinds are read.
    std::vector<std::string> order;
  };
  Guards makeGuards() const;
  MonotonicTime nextReading(const Guards& guards);
  /// What came of a round of readings.
  struct Round {
    bool anyRead = false;
    /// A call was not answered; kinds after it were not read.
    bool timedOut = false;
  };
  /// Reads those that are old and not in a pause of their own. A kind that fails is the last of the
  /// next round.
  boost::asio::awaitable<Round> readOldViews(Guards& guards);
  boost::asio::awaitable<Result<void>> readView(std::string kind, Milliseconds callTimeout);
  boost::asio::awaitable<void> answerJoin(http::Request& request, http::ResponseWriter& writer);
  boost::asio::awaitable<void> answerRoots(http::Request& request, http::ResponseWriter& writer);
  /// Reads views from where the core says.
  void applyRole();
  void onViewFailed(const Endpoint& relay, const Error& cause);

  boost::asio::any_io_executor executor_;
  RelaySettings settings_;
  RelayClient client_;
  RelayedStore store_;
  RelayCore core_;
  RelayServer server_;
  RelayListStore lists_;
  boost::asio::steady_timer timer_;
  std::function<void()> onSourceChanged_;
  bool stopped_ = false;
  /// The place that was last told in the log.
  RelayRole loggedRole_ = RelayRole::kSearching;
  std::optional<Endpoint> loggedParent_;
};

}  // namespace calicodrift::relay
