#pragma once

#include <boost/asio/awaitable.hpp>
#include <functional>
#include <map>
#include <string>

#include "http/server.h"
#include "relay/messages.h"
#include "relay/relay_settings.h"
#include "relay/watch_cache.h"

namespace calicodrift::relay {

/// Answers followers from what this node reads of the store.
///
/// Invariant: no node that follows another serves, so that views don't go round in circles; and
/// none whose own proof is older than `proofAge`, so that a node that lost the store loses its
/// followers too.
class RelayServer {
 public:
  /// The cache of a kind; null for kinds that are not watched.
  using CacheSource = std::function<WatchCache*(const std::string& kind)>;

  RelayServer(const RelaySettings& settings, CacheSource caches)
      : settings_(settings), caches_(std::move(caches)) {}

  /// Answers a follower's query.
  boost::asio::awaitable<void> handle(http::Request& request, http::ResponseWriter& writer);
  /// Whether this node reads the store itself. Followers are told at their next question.
  void setServing(bool serving) { serving_ = serving; }
  /// Called where a follower is sent away, as this node's proof is too old. It will find another
  /// relay, which may take this node's place in the list.
  void onFollowerSentAway(std::function<void()> listener) { sentAway_ = std::move(listener); }
  /// Nodes that have asked lately.
  std::size_t followers(MonotonicTime now) const;

 private:
  boost::asio::awaitable<ViewReply> answer(ViewQuery query);
  /// Why the query is not served now; kServed where it is.
  ViewOutcome refusalOf(const ViewQuery& query, const WatchCache* cache, MonotonicTime now) const;
  static ViewReply read(const WatchCache& cache, const ViewQuery& query, MonotonicTime arrived);

  /// Tells that a follower is sent away, where it is.
  void noteRefusal(ViewOutcome refusal) const;

  const RelaySettings& settings_;
  CacheSource caches_;
  bool serving_ = false;
  std::function<void()> sentAway_;
  std::map<std::string, MonotonicTime> askedAt_;
};

}  // namespace calicodrift::relay
