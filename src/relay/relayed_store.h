#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>

#include "relay/relay_client.h"
#include "relay/watch_cache.h"
#include "store/object_store.h"

namespace calicodrift::relay {

/// The store as a node reads it: kinds that it watches come from its parent, or from the store
/// itself where the node is a root. Single objects and writes always go to the store.
///
/// While the node has neither, reads wait a moment for one and fail then; what was read before is
/// kept. A read under way is given up when the source changes, so that the next one goes to the new
/// source at once; also one of the store, which may have fallen silent.
///
/// A kind may be read from the store besides, whatever the source is: refresh(). What that finds is
/// the view from then on, is handed on to children, and ends the read that is under way.
class RelayedStore : public store::ObjectStore {
 public:
  using FailureListener = std::function<void(const Endpoint& relay, const Error& cause)>;

  RelayedStore(boost::asio::any_io_executor executor, store::ObjectStore& direct,
               RelayClient& client);

  boost::asio::awaitable<Result<store::Listing>> list(std::string kind) override;
  boost::asio::awaitable<Result<store::ChangeBatch>> watch(std::string kind, store::Revision since,
                                                           Milliseconds wait) override;
  boost::asio::awaitable<Result<store::Object>> get(std::string kind, std::string name) override {
    return direct_.get(std::move(kind), std::move(name));
  }
  boost::asio::awaitable<Result<store::Revision>> put(std::string kind,
                                                      store::Object object) override {
    return direct_.put(std::move(kind), std::move(object));
  }
  boost::asio::awaitable<Result<store::Revision>> putStatus(std::string kind,
                                                            store::Object object) override {
    return direct_.putStatus(std::move(kind), std::move(object));
  }

  /// Reads from this relay from now on.
  void follow(const Endpoint& relay) { setSource(Source::kRelay, relay); }
  /// Reads the store itself from now on.
  void readDirectly() { setSource(Source::kStore, {}); }
  /// Reads nothing until a source is set.
  void detach() { setSource(Source::kNone, {}); }
  bool readsDirectly() const { return source_ == Source::kStore; }
  /// Called where a view could not be read from the relay that is followed.
  void onRelayFailed(FailureListener listener) { onRelayFailed_ = std::move(listener); }
  /// What was read of the kind, and will be; null where it was never asked for.
  WatchCache* cache(const std::string& kind);
  /// When all that the sources gave was the newest state for certain: the oldest of the kinds'
  /// proofs. The epoch of the clock where nothing was read. What refresh() found does not count, as
  /// it says nothing of a source.
  MonotonicTime provenAt() const;
  /// The kind is watched in long waits while nothing happens, so that the age of its view says
  /// nothing of the sources: provenAt() leaves it out.
  void watchSeldom(const std::string& kind) { seldomWatched_.insert(kind); }
  /// When what is known of the kind was the newest state for certain, by whatever way it was read.
  MonotonicTime provenAt(const std::string& kind) const;
  /// Reads from the store what is new of the kind: by a watch, and by a listing where the store has
  /// forgotten the changes. Fails with kDeadlineExceeded where one of them is not answered within
  /// `timeout`, and with kStoreUnavailable where the kind has not been read yet or the answer is
  /// older than what is known: after a success the view is proven for the time of the call.
  boost::asio::awaitable<Result<void>> refresh(std::string kind, Milliseconds timeout);

 private:
  enum class Source { kNone, kRelay, kStore };
  /// What is known of a kind.
  struct View {
    std::unique_ptr<WatchCache> cache;
    /// The newest proof that a source gave.
    MonotonicTime sourceProvenAt{};
    /// The proof of what the reader was told last, and the revision of that. A state may be newer
    /// though its proof is not, as proofs count from when they were asked for.
    MonotonicTime toldProvenAt{};
    store::Revision toldRevision;
    /// Rises with each refresh().
    std::uint64_t refreshes = 0;
  };

  void setSource(Source source, const Endpoint& relay);
  void wakeWaiters();
  View& viewOf(const std::string& kind);
  /// Whether refresh() found what the reader has not been told.
  static bool hasUntold(const View& view) {
    return view.cache->provenAt() > view.toldProvenAt || view.cache->revision() > view.toldRevision;
  }
  /// The reader is told what is known now.
  static void noteTold(View& view);
  /// That, as the answer to a call that was asked at this time.
  static Result<store::Listing> untoldListing(View& view, MonotonicTime asked);
  static Result<store::ChangeBatch> untoldChanges(View& view, store::Revision since,
                                                  MonotonicTime asked);
  boost::asio::awaitable<Result<store::Listing>> listAnywhere(View& view, std::string kind);
  boost::asio::awaitable<Result<store::ChangeBatch>> watchAnywhere(View& view, std::string kind,
                                                                   store::Revision since,
                                                                   Milliseconds wait);
  /// What the store has of the kind beyond what is known, for refresh().
  boost::asio::awaitable<Result<void>> readBeside(View& view, std::string kind,
                                                  Milliseconds timeout);
  /// Fails with kStoreUnavailable where the view is not known to have been the newest at that time.
  static Result<void> checkProven(const View& view, MonotonicTime asked);
  /// Runs a call to the source until it is done, the source changes or the view is refreshed.
  template <typename Value>
  boost::asio::awaitable<Result<Value>> callUntilLeft(const View& view,
                                                      boost::asio::awaitable<Result<Value>> call);
  /// Runs a call until it is done; fails with kDeadlineExceeded where `end` comes before.
  template <typename Value>
  boost::asio::awaitable<Result<Value>> callUntil(MonotonicTime end,
                                                  boost::asio::awaitable<Result<Value>> call);
  template <typename Value>
  struct Outcome {
    std::optional<Result<Value>> result;
    /// Ends when the result is there.
    std::shared_ptr<boost::asio::steady_timer> done;
  };
  /// Begins a call, which goes on to its own end however long its outcome is awaited.
  template <typename Value>
  std::shared_ptr<Outcome<Value>> begin(boost::asio::awaitable<Result<Value>> call,
                                        MonotonicTime end);
  /// Waits a moment for a source where there is none.
  boost::asio::awaitable<void> awaitSource();

  boost::asio::any_io_executor executor_;
  store::ObjectStore& direct_;
  RelayClient& client_;
  Source source_ = Source::kNone;
  Endpoint relay_;
  /// Rises with each change of the source.
  std::uint64_t sourceNumber_ = 0;
  /// Woken at each change of the source and each refresh.
  std::list<std::shared_ptr<boost::asio::steady_timer>> waiting_;
  FailureListener onRelayFailed_;
  std::map<std::string, View> views_;
  std::set<std::string> seldomWatched_;
};

}  // namespace calicodrift::relay
