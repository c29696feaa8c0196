#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <functional>
#include <memory>
#include <set>

#include "fleet/server_pool.h"
#include "forward/protocol.h"
#include "forward/server_calls.h"

namespace calicodrift::gateway {

/// Asks servers that could not be reached for their health until they answer; reachable ones are
/// never asked, as requests tell of them.
class ServerProber {
 public:
  using TableSource = std::function<std::shared_ptr<const routes::RouteTable>()>;

  ServerProber(boost::asio::any_io_executor executor, forward::ServerCalls& calls,
               const forward::ServerProtocol& protocol, fleet::ServerPool& pool, TableSource table);
  void start();
  /// Whether a server may be asked now; empty: always.
  using Permit = std::function<boost::asio::awaitable<bool>(fleet::Server)>;
  void onAsk(Permit permit) { permit_ = std::move(permit); }
  /// Called after a server that was permitted to be asked, with whether it answered.
  using Done = std::function<void(const fleet::Server&, bool answered)>;
  void onAsked(Done done) { done_ = std::move(done); }
  /// Asks the server for its health. Gives its answer, healthy or not; fails where none came from
  /// the server itself.
  boost::asio::awaitable<Result<http::Response>> ask(fleet::Server server);

 private:
  boost::asio::awaitable<void> run();
  boost::asio::awaitable<void> probe(fleet::Server server);

  boost::asio::any_io_executor executor_;
  forward::ServerCalls& calls_;
  const forward::ServerProtocol& protocol_;
  fleet::ServerPool& pool_;
  TableSource table_;
  Permit permit_;
  Done done_;
  /// Servers whose probe is under way.
  std::set<BackendId> probing_;
};

}  // namespace calicodrift::gateway
