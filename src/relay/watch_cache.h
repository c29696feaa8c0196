#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>
#include <deque>
#include <list>
#include <map>
#include <string>

#include "store/object_store.h"

namespace calicodrift::relay {

/// The last known state of one kind with its recent changes, so that nodes which know an earlier
/// revision can be told what came since. Revisions are the store's own: a follower may go on at
/// another relay, or at the store itself, from the revision that it knows.
class WatchCache {
 public:
  explicit WatchCache(boost::asio::any_io_executor executor) : executor_(std::move(executor)) {}

  /// What this node read, and when it was the newest state for certain.
  void applyListing(const store::Listing& listing, MonotonicTime provenAt);
  /// Changes that the state has already are left out, so that a batch that was read beside a newer
  /// one takes nothing back.
  void applyChanges(const store::ChangeBatch& batch, MonotonicTime provenAt);

  /// The state without its age.
  store::Listing listing() const;
  /// Fails with kVersionConflict where the changes after `since` are not all remembered.
  Result<store::ChangeBatch> changesSince(store::Revision since) const;
  store::Revision revision() const { return revision_; }
  /// Whether any state was read yet.
  bool known() const { return known_; }
  /// The state was the newest at this time for certain.
  MonotonicTime provenAt() const { return provenAt_; }
  /// Returns at the next state or proof, or at `end`.
  boost::asio::awaitable<void> waitForNews(MonotonicTime end);

 private:
  void wakeWaiters();
  /// Whether the state has the change of a batch that leads to `reached`.
  bool isKnown(const store::Change& change, store::Revision reached) const;
  /// Unless the object is known as newer.
  void applyChange(const store::Change& change);

  boost::asio::any_io_executor executor_;
  std::map<std::string, store::Object> objects_;
  std::deque<store::ChangeBatch> history_;
  std::size_t rememberedChanges_ = 0;
  store::Revision historyStart_;
  bool known_ = false;
  store::Revision revision_;
  MonotonicTime provenAt_{};
  std::list<boost::asio::steady_timer> waiters_;
};

}  // namespace calicodrift::relay
