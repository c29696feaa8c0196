#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <vector>

#include "fleet/cache_store_report.h"
#include "forward/protocol.h"
#include "http/client.h"
#include "server_paths/server_paths.h"

namespace calicodrift::gateway {

/// The stores of kept cache: which of them answer, and which one keeps a key. A server that fetches
/// from a store without power waits in vain, so that only those that answer are named to servers.
///
/// Every node gives a key to the same store, by rendezvous hashing over those that answer, so that
/// together they keep as much as all of them have room for, over the links of all.
///
/// Only nodes that read the store of the platform ask the cache stores themselves; the others learn
/// from them, so that the questions don't grow with the number of nodes.
class CacheStores {
 public:
  using TableSource = std::function<std::shared_ptr<const routes::RouteTable>()>;
  /// Whether this node asks the stores itself now.
  using AskingSource = std::function<bool()>;
  /// What the store kept may be gone.
  using LossListener = std::function<void(const Endpoint&)>;

  CacheStores(boost::asio::any_io_executor executor, server_paths::ServerPaths& paths,
              const forward::ServerProtocol& protocol, TableSource table, AskingSource asks,
              LossListener onLost);
  void start();
  /// The store for a key; nothing where none is configured or answers.
  std::optional<Endpoint> storeFor(std::uint64_t key) const;
  /// Whether the configuration has a store at this address.
  bool configured(const Endpoint& endpoint) const;
  /// How each store stands, for other nodes.
  std::vector<fleet::CacheStoreReport> reports() const;
  /// How the stores stand, as another node tells it; left aside where this node asks itself.
  void learn(const std::vector<fleet::CacheStoreReport>& reports);

 private:
  struct Store {
    /// Names it in the choice for a key.
    std::uint64_t key = 0;
    /// As of its last whole answer.
    std::optional<forward::CacheStoreState> state;
    bool alive = false;
    /// It wants no questions until then.
    MonotonicTime restUntil{};
  };

  /// Follows the configuration's list of stores.
  boost::asio::awaitable<void> run();
  boost::asio::awaitable<void> watch(Endpoint endpoint);
  boost::asio::awaitable<void> ask(Endpoint endpoint);
  void noteAnswer(const Endpoint& endpoint, Store& store,
                  const std::optional<forward::CacheStoreState>& state);
  /// What an earlier run says, or what can't be placed, changes nothing.
  void noteState(const Endpoint& endpoint, Store& store, const forward::CacheStoreState& state);
  void noteSilence(const Endpoint& endpoint, Store& store);

  boost::asio::any_io_executor executor_;
  server_paths::ServerPaths& paths_;
  const forward::ServerProtocol& protocol_;
  TableSource table_;
  AskingSource asks_;
  LossListener onLost_;
  std::map<Endpoint, Store> stores_;
};

}  // namespace calicodrift::gateway
