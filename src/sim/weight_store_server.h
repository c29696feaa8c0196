#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <cstdint>

#include "common/clock.h"
#include "http/server.h"

namespace calicodrift::sim {

struct WeightStoreSettings {
  /// Time of one load while at most `fullSpeedLoads` run.
  Milliseconds loadTime{500};
  /// With more loads than this at once, all of them slow down in proportion.
  std::size_t fullSpeedLoads = 3;
  /// Loads that fail from now on, for tests of a roll-out that can't get weights.
  std::int64_t failLoads = 0;
};

/// Stand-in of the rate-limited weight store. GET /weights/MODEL/VERSION answers after the time of
/// the load; GET /stats gives the loads running, their peak, and those completed.
class WeightStoreServer {
 public:
  WeightStoreServer(const boost::asio::any_io_executor& executor, WeightStoreSettings settings);
  Result<Endpoint> listen(const Endpoint& endpoint) { return server_.listen(endpoint); }

 private:
  boost::asio::awaitable<void> handle(http::Request& request, http::ResponseWriter& writer);
  /// Waits until the load has got its share of the store's speed.
  boost::asio::awaitable<void> serveLoad();
  http::Response stats() const;

  boost::asio::any_io_executor executor_;
  WeightStoreSettings settings_;
  http::Server server_;
  std::size_t active_ = 0;
  std::size_t peak_ = 0;
  std::uint64_t completed_ = 0;
};

}  // namespace calicodrift::sim
