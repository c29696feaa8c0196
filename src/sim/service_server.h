#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <cstdint>
#include <string>
#include <unordered_map>

#include "common/clock.h"
#include "common/ids.h"
#include "http/server.h"

namespace calicodrift::sim {

/// Stand-in of an ordinary HTTP service (registry, match). POST runs an operation and counts how
/// often each Idempotency-Key ran; it does not reject repeats, so that a doubled run shows.
/// GET /stats tells the counts; GET anything else is a read.
class ServiceServer {
 public:
  ServiceServer(const boost::asio::any_io_executor& executor, BackendId id, Milliseconds workTime);
  Result<Endpoint> listen(const Endpoint& endpoint) { return server_.listen(endpoint); }

 private:
  boost::asio::awaitable<void> handle(http::Request& request, http::ResponseWriter& writer);
  http::Response stats() const;

  boost::asio::any_io_executor executor_;
  BackendId id_;
  Milliseconds workTime_;
  std::unordered_map<std::string, std::uint64_t> runsByKey_;
  std::unordered_map<std::string, std::uint64_t> runsByRequest_;
  http::Server server_;
};

}  // namespace calicodrift::sim
