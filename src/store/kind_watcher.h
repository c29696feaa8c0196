#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <random>
#include <string>

#include "store/object_store.h"

namespace calicodrift::store {

struct KindWatcherSettings {
  std::string kind;
  /// Longest wait of a watch. Each watch that returns proves how recent the view is.
  Milliseconds wait{1500};
  /// Target for the age of the proof: a watch waits less if its proof would otherwise become older
  /// than this.
  Milliseconds proofAge{2400};
  Milliseconds shortestWait{200};
  /// Delay before the next watch after one that returned changes, so that changes in quick
  /// succession cost one call.
  Milliseconds changePause{0};
  /// Bounds of the exponential backoff, with jitter, after a failed call.
  Milliseconds firstPause{50};
  Milliseconds longestPause{400};
  /// Delay after repeated answers that cannot be decoded. A retry is unlikely to succeed before the
  /// content of the store changes, and each listing costs its whole size.
  Milliseconds unreadablePause{2000};
  /// Whether the listener takes small specs as texts. Large ones are always passed on as texts.
  bool takesSpecTexts = false;
  std::uint64_t seed = 0;
};

/// Callbacks of a KindWatcher.
struct KindListener {
  /// Replaces everything known of the kind.
  std::function<void(const Listing&)> onListing;
  std::function<void(const ChangeBatch&)> onChanges;
  /// Called when the store is lost or regained; for logging.
  std::function<void(bool reachable, const std::string& cause)> onReachable;
  /// If set, used instead of onListing: applies a long listing in steps between which others run.
  /// The listing outlives the call, and nothing is read until it has ended.
  std::function<boost::asio::awaitable<void>(const Listing&)> onLongListing = {};
  /// If set, called after each successful read: provenAt() may have risen.
  std::function<void()> onProven = {};
};

/// Keeps a view of one kind up to date: a listing, then watches, and another listing if the store
/// no longer has the history in between. Runs on one thread.
///
/// Invariant: the view never goes back, because a listing older than the known revision is
/// rejected.
class KindWatcher {
 public:
  KindWatcher(boost::asio::any_io_executor executor, ObjectStore& store,
              KindWatcherSettings settings, KindListener listener);

  void start();
  /// Called when the store is reached through another source: ends a backoff after a failed call
  /// and makes the next watch short, as other nodes may judge this node by the age of its view.
  void retryNow();
  /// Sets the longest wait and the target age of the proof for watches that start from now on.
  void setWait(Milliseconds wait) {
    settings_.wait = wait;
    settings_.proofAge = wait;
  }
  /// Latest time at which the view was known to be current; the clock's epoch if nothing was read.
  MonotonicTime provenAt() const { return provenAt_; }
  /// The value of provenAt() before the newest listing or changes, which arrived after it.
  MonotonicTime previousProvenAt() const { return previousProvenAt_; }
  bool synchronized() const { return synchronized_; }
  Revision revision() const { return revision_; }

 private:
  boost::asio::awaitable<void> run();
  boost::asio::awaitable<Result<void>> list();
  boost::asio::awaitable<Result<void>> watch();
  Milliseconds nextWait(MonotonicTime now) const;
  Milliseconds backoffAfterFailure(const Error& error);
  /// Parses the small specs, unless the listener takes them as texts.
  void parseSpec(Object& object) const;
  void reportReachability(bool reachable, const std::string& cause);

  boost::asio::any_io_executor executor_;
  boost::asio::steady_timer timer_;
  ObjectStore& store_;
  KindWatcherSettings settings_;
  KindListener listener_;
  std::mt19937_64 random_;
  Revision revision_;
  bool synchronized_ = false;
  bool needsListing_ = true;
  bool reachable_ = true;
  unsigned failures_ = 0;
  Milliseconds pause_{0};
  /// The next watch is short, as it is only needed for its proof.
  bool proofRequested_ = false;
  MonotonicTime provenAt_{};
  MonotonicTime previousProvenAt_{};
};

}  // namespace calicodrift::store
