#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <functional>
#include <memory>
#include <optional>

#include "forward/protocol.h"
#include "http/client.h"

namespace calicodrift::gateway {

/// Whether the store of kept cache answers: one waiting call is under way at any time, which costs
/// the store nothing while nothing changes. A server that fetches from a store without power waits
/// in vain, so that only one that answers is named to servers.
class CacheStoreMonitor {
 public:
  using TableSource = std::function<std::shared_ptr<const routes::RouteTable>()>;

  CacheStoreMonitor(boost::asio::any_io_executor executor, http::Client& client,
                    const forward::ServerProtocol& protocol, TableSource table);
  void start();
  /// Nothing where no store is configured or it doesn't answer.
  std::optional<Endpoint> endpoint() const;

 private:
  boost::asio::awaitable<void> run();
  boost::asio::awaitable<void> ask(Endpoint endpoint);
  void setAlive(const Endpoint& endpoint, bool alive);

  boost::asio::any_io_executor executor_;
  http::Client& client_;
  const forward::ServerProtocol& protocol_;
  TableSource table_;
  forward::CacheStoreState state_;
  std::optional<Endpoint> alive_;
};

}  // namespace calicodrift::gateway
