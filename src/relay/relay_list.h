#pragma once

#include <string>
#include <vector>

#include "common/endpoint.h"
#include "store/object_store.h"

namespace calicodrift::relay {

/// The relays of a zone, as an object of the store names them. A hint and no more: any node that
/// reads the store itself serves whoever asks, and nothing depends on who is listed.
struct RelayList {
  /// 0 where the object does not exist yet.
  store::Revision revision;
  std::vector<Endpoint> relays;

  bool contains(const Endpoint& relay) const;
};

/// Reads and changes the list, always on the condition that nobody else has changed it meanwhile.
class RelayListStore {
 public:
  /// @param zone whose list this is; the object's name.
  RelayListStore(store::ObjectStore& store, std::string zone)
      : store_(store), zone_(std::move(zone)) {}

  /// An empty list where there is none. Fails as ObjectStore::get() does.
  boost::asio::awaitable<Result<RelayList>> read();
  /// The relays of all zones. Fails as ObjectStore::list() does.
  boost::asio::awaitable<Result<std::vector<Endpoint>>> readAll();
  /// Fails as ObjectStore::put() does.
  boost::asio::awaitable<Result<void>> write(RelayList list);

 private:
  store::ObjectStore& store_;
  std::string zone_;
};

}  // namespace calicodrift::relay
