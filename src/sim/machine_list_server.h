#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <deque>
#include <map>
#include <string>
#include <vector>

#include "common/clock.h"
#include "http/server.h"
#include "object_api/machine.h"

namespace calicodrift::sim {

/// Stand-in of the platform's machine list. Machines are written by PUT /machines/NAME and removed
/// by DELETE; GET /machines shows the list as it was `lag` ago.
class MachineListServer {
 public:
  MachineListServer(const boost::asio::any_io_executor& executor, http::ServerLimits limits,
                    Milliseconds lag);
  Result<Endpoint> listen(const Endpoint& endpoint) { return server_.listen(endpoint); }

 private:
  /// The whole list as it was from one moment on.
  struct Snapshot {
    MonotonicTime since;
    std::vector<object_api::Machine> machines;
  };

  boost::asio::awaitable<void> handle(http::Request& request, http::ResponseWriter& writer);
  http::Response change(const http::Request& request);
  std::vector<object_api::Machine> laggedList();
  void recordSnapshot();

  Milliseconds lag_;
  std::map<std::string, object_api::Machine> machines_;
  std::deque<Snapshot> history_;
  http::Server server_;
};

}  // namespace calicodrift::sim
