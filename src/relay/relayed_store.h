#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include "relay/relay_client.h"
#include "relay/watch_cache.h"
#include "store/object_store.h"

namespace calicodrift::relay {

/// The store as a node reads it: kinds that it watches come from a relay while it follows one, and
/// from the store itself else. Single objects and writes always go to the store.
///
/// A relay that fails is left within the same call, so that a view is never older for it than the
/// call's time-out.
class RelayedStore : public store::ObjectStore {
 public:
  using FailureListener = std::function<void(const Endpoint& relay, const Error& cause)>;

  RelayedStore(boost::asio::any_io_executor executor, store::ObjectStore& direct,
               RelayClient client);

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

  /// Reads from this relay from now on, until it fails.
  void follow(const Endpoint& relay) { relay_ = relay; }
  void readDirectly() { relay_.reset(); }
  const std::optional<Endpoint>& relay() const { return relay_; }
  void onRelayFailed(FailureListener listener) { onRelayFailed_ = std::move(listener); }
  /// What was read of the kind; null where it was never read.
  WatchCache* cache(const std::string& kind);

 private:
  boost::asio::awaitable<Result<store::Listing>> listAnywhere(std::string kind);
  boost::asio::awaitable<Result<store::ChangeBatch>> watchAnywhere(std::string kind,
                                                                   store::Revision since,
                                                                   Milliseconds wait);
  /// The changes after a relay has failed, by a short watch of the store: the view has grown old
  /// while the relay was silent, and this node may be asked to serve others at once.
  /// @param asked when the relay was asked.
  boost::asio::awaitable<Result<store::ChangeBatch>> proveDirectly(std::string kind,
                                                                   store::Revision since,
                                                                   MonotonicTime asked);
  void leave(const Endpoint& relay, const Error& cause);

  boost::asio::any_io_executor executor_;
  store::ObjectStore& direct_;
  RelayClient client_;
  std::optional<Endpoint> relay_;
  FailureListener onRelayFailed_;
  std::map<std::string, std::unique_ptr<WatchCache>> caches_;
};

}  // namespace calicodrift::relay
