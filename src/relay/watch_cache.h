#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>
#include <deque>
#include <list>
#include <map>
#include <optional>
#include <string>

#include "relay/listing_snapshot.h"
#include "relay/spec_texts.h"
#include "store/object_store.h"

namespace calicodrift::relay {

/// A snapshot and the changes since.
struct SnapshotView {
  SharedSnapshot snapshot;
  store::ChangeBatch changes;
  /// When the state after the changes was known to be current.
  MonotonicTime provenAt{};
};

/// Last known state of one kind with its recent changes, from which nodes that know an earlier
/// revision are brought up to date. Revisions are those of the store, so a follower can continue at
/// another relay, or at the store itself, from the revision that it knows.
///
/// Specs are kept as their texts, which all that hold or send an object share: parsed ones take
/// several times the memory, and would be serialized again for each child.
class WatchCache {
 public:
  explicit WatchCache(boost::asio::any_io_executor executor) : executor_(std::move(executor)) {}

  /// Replaces the state by a listing that was known to be current at `provenAt`. Followers that
  /// know an earlier state are sent what differs, as an incomplete batch, as long as both are of
  /// the same era.
  void applyListing(const store::Listing& listing, MonotonicTime provenAt);
  /// Applies a batch that was known to be current at `provenAt`. Changes that the state already has
  /// are skipped, so a batch that was read concurrently with a newer one reverts nothing.
  void applyChanges(const store::ChangeBatch& batch, MonotonicTime provenAt);

  /// The current state, without its age.
  store::Listing listing() const;
  /// Fails with kVersionConflict if the history does not reach back to `since`.
  Result<store::ChangeBatch> changesSince(store::Revision since) const;
  store::Revision revision() const { return revision_; }
  /// Number of objects.
  std::size_t size() const { return objects_.size(); }
  /// Keeps a snapshot that a relay has sent, for the children of this node. They are served from it
  /// before the state has been read from it.
  void offerSnapshot(SnapshotView received);
  /// A snapshot with the changes since; empty if none is kept, or if the history does not reach
  /// back to it.
  std::optional<SnapshotView> snapshotView() const;
  /// Replaces the snapshot.
  void keepSnapshot(SharedSnapshot snapshot);
  /// The texts of large specs.
  SpecTexts& specTexts() { return specTexts_; }
  /// Whether any state has been read yet.
  bool known() const { return known_; }
  /// Latest time at which the state was known to be current.
  MonotonicTime provenAt() const { return provenAt_; }
  /// Returns when a new state or proof arrives, or at `end`.
  boost::asio::awaitable<void> waitForNews(MonotonicTime end);

 private:
  void wakeWaiters();
  std::size_t maxHistoryChanges() const;
  /// Discards the state and the history.
  void replaceState(const store::Listing& listing);
  /// What turns the state into the listing.
  store::ChangeBatch differenceTo(const store::Listing& listing) const;
  /// Appends a batch of which the state has nothing, and drops the oldest changes.
  void appendHistory(store::ChangeBatch batch);
  /// The share of a batch in historyChanges_.
  static std::size_t weightOf(const store::ChangeBatch& batch) {
    return batch.changes.size() + (batch.complete ? 0 : 1);
  }
  /// Whether the state already has a change from a batch that leads to `reached`.
  bool isKnown(const store::Change& change, store::Revision reached) const;
  /// Applies the change unless a newer version of the object is known.
  void applyChange(const store::Change& change);
  /// Removes earlier changes of the object from the history: the newest one has all of it.
  void forgetEarlierChanges(const std::string& name);

  boost::asio::any_io_executor executor_;
  std::map<std::string, store::Object> objects_;
  SpecTexts specTexts_;
  SharedSnapshot snapshot_;
  /// A snapshot that has not been read into the state yet.
  std::optional<SnapshotView> offered_;
  std::deque<store::ChangeBatch> history_;
  std::size_t historyChanges_ = 0;
  store::Revision historyStart_;
  bool known_ = false;
  store::Revision revision_;
  MonotonicTime provenAt_{};
  std::list<boost::asio::steady_timer> waiters_;
};

}  // namespace calicodrift::relay
