#pragma once

#include <string>
#include <vector>

#include "common/endpoint.h"
#include "common/ids.h"
#include "store/object_store.h"

namespace calicodrift::relay {

/// A node that reads the store for others.
struct Relay {
  Endpoint endpoint;
  /// Where it stands; bytes between zones cost more.
  ZoneId zone;

  bool operator==(const Relay&) const = default;
};

/// The relays of a group of nodes, as an object of the store names them. A hint and no more: any
/// node that reads the store itself serves whoever asks, and nothing depends on who is listed.
struct RelayList {
  /// 0 where the object does not exist yet.
  store::Revision revision;
  std::vector<Relay> relays;

  bool contains(const Endpoint& relay) const;
};

/// Reads and changes the list, always on the condition that nobody else has changed it meanwhile.
class RelayListStore {
 public:
  /// @param group whose list this is; the object's name.
  RelayListStore(store::ObjectStore& store, std::string group)
      : store_(store), group_(std::move(group)) {}

  /// An empty list where there is none. Fails as ObjectStore::get() does.
  boost::asio::awaitable<Result<RelayList>> read();
  /// The relays of all groups. Fails as ObjectStore::list() does.
  boost::asio::awaitable<Result<std::vector<Endpoint>>> readAll();
  /// Fails as ObjectStore::put() does.
  boost::asio::awaitable<Result<void>> write(RelayList list);

 private:
  store::ObjectStore& store_;
  std::string group_;
};

}  // namespace calicodrift::relay
