#pragma once

#include <string>
#include <vector>

#include "common/endpoint.h"
#include "common/ids.h"
#include "store/object_store.h"

namespace calicodrift::relay {

/// A node that others may read the store through.
struct Relay {
  Endpoint endpoint;
  /// Where it stands; bytes between zones cost more.
  ZoneId zone;

  bool operator==(const Relay&) const = default;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(endpoint, zone);
  }
};

/// The roots of a group's tree, as an object of the store names them. A hint and no more: any
/// node that has a view of the store serves whoever asks, and nothing depends on who is listed.
struct RelayList {
  /// 0 where the object does not exist yet.
  store::Revision revision;
  std::vector<Relay> relays;

  bool contains(const Endpoint& relay) const;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(revision, relays);
  }
};

/// Reads and changes the list, always on the condition that nobody else has changed it meanwhile.
class RelayListStore {
 public:
  /// @param group whose list this is; the object's name.
  RelayListStore(store::ObjectStore& store, std::string group)
      : store_(store), group_(std::move(group)) {}

  /// An empty list where there is none. Fails as ObjectStore::get() does.
  boost::asio::awaitable<Result<RelayList>> read();
  /// Gives the list's new revision. Fails as ObjectStore::put() does.
  boost::asio::awaitable<Result<store::Revision>> write(RelayList list);

 private:
  store::ObjectStore& store_;
  std::string group_;
};

}  // namespace calicodrift::relay
