#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <cstddef>
#include <map>
#include <string>

#include "common/clock.h"
#include "http/server.h"
#include "platform/object_api.h"

namespace calicodrift::sim {

/// What the stand-in of the object API does wrong, set by POST /faults.
struct StoreFaults {
  /// Closes every connection without an answer.
  bool down = false;
  Milliseconds delay{0};
  /// So many next writes take effect and then lose their answer.
  std::int64_t loseAnswers = 0;
};

/// Stand-in of the platform's object API: objects with versions, conditional writes, and faults.
class ObjectApiServer {
 public:
  ObjectApiServer(const boost::asio::any_io_executor& executor, http::ServerLimits limits);
  Result<Endpoint> listen(const Endpoint& endpoint) { return server_.listen(endpoint); }

 private:
  boost::asio::awaitable<void> handle(http::Request& request, http::ResponseWriter& writer);
  http::Response getObject(const std::string& key);
  http::Response putObject(const std::string& key, const std::string& body);
  http::Response setFaults(const std::string& body);

  boost::asio::any_io_executor executor_;
  http::Server server_;
  std::map<std::string, platform::StoredObject> objects_;
  std::uint64_t lastVersion_ = 0;
  std::uint64_t reads_ = 0;
  std::uint64_t writes_ = 0;
  StoreFaults faults_;
};

}  // namespace calicodrift::sim
