#pragma once

#include <boost/asio/awaitable.hpp>
#include <functional>
#include <string>

#include "http/server.h"
#include "relay/messages.h"
#include "relay/watch_cache.h"

namespace calicodrift::relay {

/// Answers children from what this node knows of the store, with the age of that.
///
/// Invariant: no answer claims to be newer than this node's own proof. A node that has lost the
/// store, or its parent, goes on to answer; its children judge by the age.
class RelayServer {
 public:
  /// The cache of a kind; null for kinds that are not watched.
  using CacheSource = std::function<WatchCache*(const std::string& kind)>;
  /// Whether the node of that name is served; asked at each question, which renews its place.
  using Admission = std::function<bool(const std::string& node)>;

  RelayServer(CacheSource caches, Admission admits)
      : caches_(std::move(caches)), admits_(std::move(admits)) {}

  /// Answers a child's query.
  boost::asio::awaitable<void> handle(http::Request& request, http::ResponseWriter& writer);

 private:
  boost::asio::awaitable<ViewReply> answer(ViewQuery query);
  static ViewReply read(const WatchCache& cache, const ViewQuery& query, MonotonicTime arrived);

  CacheSource caches_;
  Admission admits_;
};

}  // namespace calicodrift::relay
