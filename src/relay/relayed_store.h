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

/// The store as a node reads it: watched kinds come from the parent, or from the store itself if
/// the node is a root. Reads of single objects and writes always go to the store.
///
/// Without a source, reads wait briefly for one and then fail; state that was read before is kept.
/// When the source changes, a pending read is abandoned, so that the next one goes to the new
/// source at once. This includes reads of the store, which may have stopped answering.
///
/// refresh() reads a kind from the store whatever the source is. Its result becomes the view, is
/// passed on to children, and ends the pending read.
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
  boost::asio::awaitable<Result<store::Object>> getStale(std::string kind,
                                                         std::string name) override {
    return direct_.getStale(std::move(kind), std::move(name));
  }
  boost::asio::awaitable<Result<store::Revision>> put(std::string kind,
                                                      store::Object object) override {
    return direct_.put(std::move(kind), std::move(object));
  }
  boost::asio::awaitable<Result<store::Revision>> putStatus(std::string kind,
                                                            store::Object object) override {
    return direct_.putStatus(std::move(kind), std::move(object));
  }
  MonotonicTime lastBytesAt(const std::string& kind) const override {
    return direct_.lastBytesAt(kind);
  }
  store::Era era() const override { return direct_.era(); }
  MonotonicTime eraSeenAt() const override { return direct_.eraSeenAt(); }
  void observeEra(store::Era era) override { direct_.observeEra(era); }
  void onNewEra(const std::function<void()>& listener) override { direct_.onNewEra(listener); }

  /// Reads from this relay from now on.
  void follow(const Endpoint& relay) { setSource(Source::kRelay, relay); }
  /// Reads the store itself from now on.
  void readDirectly() { setSource(Source::kStore, {}); }
  /// Reads nothing until a source is set.
  void detach() { setSource(Source::kNone, {}); }
  bool readsDirectly() const { return source_ == Source::kStore; }
  /// Sets the listener for failed reads from the relay that is followed.
  void onRelayFailed(FailureListener listener) { onRelayFailed_ = std::move(listener); }
  /// The cache of the kind; null if the kind was never requested.
  WatchCache* cache(const std::string& kind);
  /// Latest time at which all kinds were known to be current by what the sources returned: the
  /// minimum over the kinds. The clock's epoch if nothing was read. Results of refresh() do not
  /// count, as they say nothing about a source.
  MonotonicTime provenAt() const;
  /// Excludes the kind from provenAt(): it is watched with long waits while nothing changes, so the
  /// age of its view says nothing about the sources.
  void excludeFromProvenAt(const std::string& kind) { excludedKinds_.insert(kind); }
  /// Latest time at which the kind was known to be current, in whatever way it was read.
  MonotonicTime provenAt(const std::string& kind) const;
  /// Whether refresh() may read the kind whole.
  enum class Listings {
    kAllowed,
    /// Only if the known state fits into one page of the store: a long listing costs the store a
    /// call for each page, at every node whose view is old at the time.
    kShort,
  };
  /// Reads the changes of the kind from the store with a watch, or with a listing if the store no
  /// longer has the history. Fails with kDeadlineExceeded if nothing of either answer arrives for
  /// `maxSilence`, and with kStoreUnavailable if the kind has not been read yet, the result is
  /// older than the known state, or a listing is needed and not allowed. After a success the view
  /// is proven for the time of the call.
  boost::asio::awaitable<Result<void>> refresh(std::string kind, Milliseconds maxSilence,
                                               Listings listings = Listings::kAllowed);

 private:
  enum class Source { kNone, kRelay, kStore };
  /// State of one kind.
  struct View {
    std::unique_ptr<WatchCache> cache;
    /// Latest proof given by a source.
    MonotonicTime sourceProvenAt{};
    /// Proof and revision of what the reader last received. A state may be newer although its proof
    /// is not, as proofs count from the time of the request.
    MonotonicTime deliveredProvenAt{};
    store::Revision deliveredRevision;
    /// Incremented by each refresh().
    std::uint64_t refreshes = 0;
  };

  void setSource(Source source, const Endpoint& relay);
  void wakeWaiters();
  View& viewOf(const std::string& kind);
  /// Whether refresh() found a state or proof that the reader has not received.
  static bool hasUndelivered(const View& view) {
    return view.cache->provenAt() > view.deliveredProvenAt ||
           view.cache->revision() > view.deliveredRevision;
  }
  /// Records that the reader has received the current state.
  static void markDelivered(View& view);
  /// The undelivered state as the result of a call made at `asked`.
  static Result<store::Listing> undeliveredListing(View& view, MonotonicTime asked);
  static Result<store::ChangeBatch> undeliveredChanges(View& view, store::Revision since,
                                                       MonotonicTime asked);
  /// Takes over the era of a position that a relay has sent, and completes one without an era, as
  /// relays of earlier builds send them.
  store::Revision withKnownEra(store::Revision received);
  boost::asio::awaitable<Result<store::Listing>> listFromSource(View& view, std::string kind);
  /// Lists a kind whose history the store has forgotten. The reader gets what differs as changes:
  /// to go through a long listing again would take it longer than its children may wait for a
  /// proof.
  boost::asio::awaitable<void> listAgain(View& view, std::string kind);
  /// Reads the first state from the relay, as a snapshot. Empty if the relay sends none.
  boost::asio::awaitable<std::optional<Result<store::Listing>>> listFromSnapshot(View& view,
                                                                                 std::string kind,
                                                                                 Endpoint relay);
  /// Reads a snapshot into the view, part by part, while other work goes on.
  boost::asio::awaitable<Result<void>> loadSnapshot(View& view, SnapshotView received);
  boost::asio::awaitable<Result<store::ChangeBatch>> watchFromSource(View& view, std::string kind,
                                                                     store::Revision since,
                                                                     Milliseconds wait);
  /// Reads what the store has beyond the known state, for refresh().
  boost::asio::awaitable<Result<void>> readFromStore(View& view, std::string kind,
                                                     Milliseconds maxSilence, Listings listings);
  /// Fails with kStoreUnavailable unless the view is known to have been current at `asked`.
  static Result<void> checkProven(const View& view, MonotonicTime asked);
  /// Awaits a call to the source until it ends, the source changes or the view is refreshed.
  template <typename Value>
  boost::asio::awaitable<Result<Value>> callUntilSourceChange(
      const View& view, boost::asio::awaitable<Result<Value>> call);
  /// Awaits a call to the store until it ends; fails with kDeadlineExceeded if nothing of an answer
  /// about the kind arrives for `maxSilence`.
  template <typename Value>
  boost::asio::awaitable<Result<Value>> callUntilSilent(std::string kind, Milliseconds maxSilence,
                                                        boost::asio::awaitable<Result<Value>> call);
  template <typename Value>
  struct Outcome {
    std::optional<Result<Value>> result;
    /// Cancelled when the result is available.
    std::shared_ptr<boost::asio::steady_timer> done;
  };
  /// Starts a call, which runs to its own end no matter how long its outcome is awaited.
  template <typename Value>
  std::shared_ptr<Outcome<Value>> begin(boost::asio::awaitable<Result<Value>> call,
                                        MonotonicTime end);
  /// Waits briefly for a source if there is none.
  boost::asio::awaitable<void> waitForSource();

  boost::asio::any_io_executor executor_;
  store::ObjectStore& direct_;
  RelayClient& client_;
  Source source_ = Source::kNone;
  Endpoint relay_;
  /// Incremented by each change of the source.
  std::uint64_t sourceGeneration_ = 0;
  /// Woken by each change of the source and each refresh.
  std::list<std::shared_ptr<boost::asio::steady_timer>> waiters_;
  FailureListener onRelayFailed_;
  std::map<std::string, View> views_;
  std::set<std::string> excludedKinds_;
};

}  // namespace calicodrift::relay
