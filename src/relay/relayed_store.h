#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <optional>
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
/// source at once.
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
  /// When all that was read was the newest state for certain: the oldest of the kinds' proofs. The
  /// epoch of the clock where nothing was read.
  MonotonicTime provenAt() const;

 private:
  enum class Source { kNone, kRelay, kStore };

  void setSource(Source source, const Endpoint& relay);
  boost::asio::awaitable<Result<store::Listing>> listAnywhere(std::string kind);
  boost::asio::awaitable<Result<store::ChangeBatch>> watchAnywhere(std::string kind,
                                                                   store::Revision since,
                                                                   Milliseconds wait);
  /// Runs a call to the relay until it is done or the source changes.
  template <typename Value>
  boost::asio::awaitable<Result<Value>> callRelay(boost::asio::awaitable<Result<Value>> call);
  /// Waits a moment for a source where there is none.
  boost::asio::awaitable<void> awaitSource();

  boost::asio::any_io_executor executor_;
  store::ObjectStore& direct_;
  RelayClient& client_;
  Source source_ = Source::kNone;
  Endpoint relay_;
  /// Rises with each change of the source.
  std::uint64_t sourceNumber_ = 0;
  /// Woken at each change of the source.
  std::list<std::shared_ptr<boost::asio::steady_timer>> waiting_;
  FailureListener onRelayFailed_;
  std::map<std::string, std::unique_ptr<WatchCache>> caches_;
};

}  // namespace calicodrift::relay
