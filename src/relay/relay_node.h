#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "relay/relay_core.h"
#include "relay/relay_list.h"
#include "relay/relay_server.h"
#include "relay/relayed_store.h"
#include "relay/view_refresh_scheduler.h"

namespace calicodrift::relay {

/// Maintains this node's position in the tree of its group: performs the steps of the RelayCore and
/// reads the kinds of the store from the current source. Runs on one thread.
class RelayNode {
 public:
  RelayNode(boost::asio::any_io_executor executor, store::ObjectStore& direct, http::Client& client,
            RelaySettings settings);

  /// Answers other nodes at kViewPath, kJoinPath and kRootsPath.
  boost::asio::awaitable<void> handle(http::Request& request, http::ResponseWriter& writer);
  void start();
  /// Rejects children and removes this node from the list of roots.
  boost::asio::awaitable<void> stop();
  RelayedStore& store() { return store_; }
  /// Sets the listener for changes of the source of views, and for rounds of refreshes in which a
  /// stale view was read from the store in addition to the source.
  void onSourceChanged(std::function<void()> listener) { onSourceChanged_ = std::move(listener); }
  /// Sets the listener for each reading of a list of roots that cannot be decoded.
  void onUnreadableList(std::function<void(const store::Object&, const Error&)> listener) {
    lists_.onUnreadable(std::move(listener));
  }
  /// Whether this node currently reads the store itself.
  bool readsStore() const { return store_.readsDirectly(); }
  /// Whether this node is a root of the tree.
  bool isRelay() const { return !alone() && core_.role() == RelayRole::kRoot; }
  /// Whether this node alone may grant a root's share of what all roots share. Keeps the
  /// confirmation by readings of the list going as long as it is called every
  /// RelayCore::kConfirmTerm.
  bool mayGrant();
  /// When former roots have stopped granting what this node may grant now.
  MonotonicTime settledAt() const { return core_.settledAt(); }
  /// The relay that this node follows, if any.
  std::optional<Endpoint> relay() const { return core_.parent(); }
  /// The other roots as last read, if this node is a root.
  std::vector<Endpoint> otherRelays() const;
  /// The roots of the tree other than this node, as last received, whatever this node's position.
  std::vector<Endpoint> roots() const;
  /// The roots of the newest list that this node has received, including this node if it is one.
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
  /// Reads kinds whose views have become stale from the store, for as long as the node runs.
  boost::asio::awaitable<void> refreshStaleViews();
  /// Schedulers of refreshStaleViews().
  struct RefreshSchedulers {
    /// Determines when any kind is due, and the backoff after a round in which the store did not
    /// answer.
    ViewRefreshScheduler store;
    /// The backoff after a failed call, by kind.
    std::map<std::string, ViewRefreshScheduler> kinds;
    /// Order in which kinds are read.
    std::vector<std::string> order;
  };
  RefreshSchedulers makeRefreshSchedulers() const;
  MonotonicTime nextRefresh(const RefreshSchedulers& schedulers);
  /// Outcome of a round of reads.
  struct Round {
    bool anyRead = false;
    /// A call timed out; the kinds after it were not read.
    bool timedOut = false;
  };
  /// Reads the kinds that are due and not in backoff. A kind that fails is read last in the next
  /// round.
  boost::asio::awaitable<Round> refreshDueViews(RefreshSchedulers& schedulers);
  /// Reads the view from the store. Returns nothing if the answer is still arriving after
  /// `maxSilence`: it is then read to its end while other kinds are read.
  boost::asio::awaitable<std::optional<Result<void>>> readView(std::string kind,
                                                               Milliseconds maxSilence);
  /// A read of a view that may go on after its caller has stopped waiting for it.
  struct ViewReading {
    boost::asio::steady_timer done;
    std::optional<Result<void>> outcome;
    bool awaited = true;
  };
  /// What refresh() may read of a view of this age.
  RelayedStore::Listings allowedListings(const std::string& kind, Milliseconds age) const;
  boost::asio::awaitable<void> readViewToEnd(std::string kind, Milliseconds maxSilence,
                                             std::shared_ptr<ViewReading> reading);
  /// Whether an answer of the store about the kind is arriving.
  bool isArriving(const std::string& kind, Milliseconds maxSilence) const {
    return monotonicNow() - store_.lastBytesAt(kind) < maxSilence;
  }
  boost::asio::awaitable<void> answerJoin(http::Request& request, http::ResponseWriter& writer);
  boost::asio::awaitable<void> answerRoots(http::Request& request, http::ResponseWriter& writer);
  /// Sets the source of views according to the role in the core.
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
  /// The position that was last logged.
  RelayRole loggedRole_ = RelayRole::kSearching;
  std::optional<Endpoint> loggedParent_;
};

}  // namespace calicodrift::relay
