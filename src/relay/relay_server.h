#pragma once

#include <boost/asio/awaitable.hpp>
#include <functional>
#include <set>
#include <string>

#include "http/server.h"
#include "relay/messages.h"
#include "relay/watch_cache.h"

namespace calicodrift::relay {

/// Answers children from the views of this node and states the age of each view.
///
/// Invariant: no reply claims to be newer than this node's own proof. A node that has lost the
/// store or its parent continues to answer; its children decide by the age of the view.
class RelayServer {
 public:
  /// Returns the cache of a kind; null for kinds that are not watched.
  using CacheSource = std::function<WatchCache*(const std::string& kind)>;
  /// Returns whether the node is served. Called for every query; a positive answer renews the
  /// child's place.
  using Admission = std::function<bool(const std::string& node)>;

  RelayServer(CacheSource caches, Admission admits)
      : caches_(std::move(caches)), admits_(std::move(admits)) {}

  /// Answers a query of a child.
  boost::asio::awaitable<void> handle(http::Request& request, http::ResponseWriter& writer);

 private:
  boost::asio::awaitable<ViewReply> answer(ViewQuery query);
  /// For followers of earlier builds, which know positions by their number alone.
  boost::asio::awaitable<ViewReply> answerWithoutEra(ViewQuery query);
  boost::asio::awaitable<PatchedViewReply> answerPatched(PatchedViewQuery query);
  boost::asio::awaitable<SnapshotReply> answerSnapshot(ViewQuery query);
  /// Makes a snapshot of the cache in steps between which others run. Waits for it if one is being
  /// made.
  boost::asio::awaitable<void> makeSnapshot(std::string kind, WatchCache& cache);
  /// Replaces the specs that the cache keeps as texts by updates of what the follower holds.
  static PatchedViewReply withUpdates(ViewReply view, const std::vector<HeldSpec>& held,
                                      SpecTexts& texts);
  static ViewReply read(const WatchCache& cache, const ViewQuery& query, MonotonicTime arrived);

  CacheSource caches_;
  Admission admits_;
  /// Kinds of which a snapshot is being made.
  std::set<std::string> makingSnapshot_;
};

}  // namespace calicodrift::relay
