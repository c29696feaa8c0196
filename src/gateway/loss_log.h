#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <cstddef>

#include "fleet/server_pool.h"

namespace calicodrift::gateway {

/// Tells in the log that servers were lost. A load of weights ends a server's state on every node
/// at once and is told in full by the node that ordered it, so that the others only count those of
/// each second.
class LossLog {
 public:
  explicit LossLog(boost::asio::any_io_executor executor) : executor_(std::move(executor)) {}

  void note(const fleet::Server& server, fleet::ServerLoss loss);

 private:
  /// Writes the count when a second has passed.
  boost::asio::awaitable<void> writeReloads();

  boost::asio::any_io_executor executor_;
  /// Since the first that was not told yet.
  std::size_t reloads_ = 0;
};

}  // namespace calicodrift::gateway
