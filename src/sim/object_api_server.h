#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstddef>
#include <deque>
#include <map>
#include <set>
#include <string>

#include "common/clock.h"
#include "http/server.h"
#include "object_api/object_api.h"

namespace calicodrift::sim {

/// What the stand-in of the object API does wrong, set by POST /faults.
struct StoreFaults {
  /// Closes every connection without an answer.
  bool down = false;
  Milliseconds delay{0};
  /// So many next writes take effect and then lose their answer.
  std::int64_t loseAnswers = 0;
};

/// Stand-in of the platform's object API: objects with versions, conditional writes, watches, and
/// faults. Reads are linearizable: an answer shows every write that was answered before the
/// request.
///
/// `GET /api/KIND/NAME?watch=1&resourceVersion=N&timeoutMs=T` answers with JSON lines: the object
/// as it is now if it changed after N, then a bookmark with the store's version at that moment,
/// then each change, until T ms have passed. 410 where N is older than the history; N = 0 starts
/// from the object as it is now, and counts as a read.
class ObjectApiServer {
 public:
  /// @param historyBound how many last changes a watch may resume from.
  ObjectApiServer(const boost::asio::any_io_executor& executor, http::ServerLimits limits,
                  std::size_t historyBound);
  Result<Endpoint> listen(const Endpoint& endpoint) { return server_.listen(endpoint); }

 private:
  boost::asio::awaitable<void> handle(http::Request& request, http::ResponseWriter& writer);
  http::Response getObject(const std::string& key);
  http::Response putObject(const std::string& key, const std::string& body);
  http::Response setFaults(const std::string& body);
  http::Response stats() const;
  void countRead(const std::string& key);
  boost::asio::awaitable<void> serveWatch(http::Request& request, http::ResponseWriter& writer,
                                          std::string key);
  /// The line that a watch owes after `seen`, or an empty text.
  std::string changeAfter(const std::string& key, object_api::ResourceVersion seen) const;
  void wakeWatches();

  boost::asio::any_io_executor executor_;
  http::Server server_;
  std::map<std::string, object_api::StoredObject> objects_;
  std::uint64_t lastVersion_ = 0;
  std::size_t historyBound_;
  /// Versions of the last changes, oldest first.
  std::deque<std::uint64_t> history_;
  /// Newest version that the history has lost.
  std::uint64_t compactedVersion_ = 0;
  std::set<boost::asio::steady_timer*> watches_;
  std::uint64_t watchesOpened_ = 0;
  std::uint64_t reads_ = 0;
  /// Reads by KIND/NAME.
  std::map<std::string, std::uint64_t> readsOf_;
  std::uint64_t writes_ = 0;
  StoreFaults faults_;
};

}  // namespace calicodrift::sim
