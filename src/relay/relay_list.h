#pragma once

#include <functional>
#include <string>
#include <string_view>
#include <vector>

#include "common/endpoint.h"
#include "common/ids.h"
#include "store/object_store.h"

namespace calicodrift::relay {

/// A node through which others may read the store.
struct Relay {
  Endpoint endpoint;
  /// Zone of the node; traffic between zones costs more.
  ZoneId zone;

  bool operator==(const Relay&) const = default;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(endpoint, zone);
  }
};

/// Kind of the objects that hold the lists of roots, one object per group, named after the group.
inline constexpr std::string_view kListKind = "calicodrift-relays";

/// The roots of a group's tree, as stored in the store. Readers treat it as a hint: any node that
/// has a view of the store serves those that ask, whether or not it is listed.
struct RelayList {
  /// Revision of the stored object; 0 if there is none.
  store::Revision revision;
  std::vector<Relay> relays;
  /// False if the object exists but cannot be read. Set by this node's own reading and not sent to
  /// others.
  bool readable = true;

  bool contains(const Endpoint& relay) const;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(revision, relays);
  }
};

/// Reads and writes the list. Writes are conditional on the revision that was read.
class RelayListStore {
 public:
  /// @param group the group of the list; also the name of the object.
  RelayListStore(store::ObjectStore& store, std::string group)
      : store_(store), group_(std::move(group)) {}

  /// Sets the listener for each reading of a list that cannot be decoded.
  void onUnreadable(std::function<void(const store::Object&, const Error&)> listener) {
    onUnreadable_ = std::move(listener);
  }
  /// Returns an empty list if there is no object. If the object cannot be decoded, returns an empty
  /// list with the object's revision, so that it can be overwritten. Fails as ObjectStore::get()
  /// does.
  boost::asio::awaitable<Result<RelayList>> read();
  /// A list that may be seconds old; empty if there was none then. Fails as read() does.
  boost::asio::awaitable<Result<RelayList>> readStale();
  /// Returns the new revision of the list. Fails as ObjectStore::put() does.
  boost::asio::awaitable<Result<store::Revision>> write(RelayList list);

 private:
  Result<RelayList> decode(const Result<store::Object>& object) const;

  store::ObjectStore& store_;
  std::string group_;
  std::function<void(const store::Object&, const Error&)> onUnreadable_;
};

}  // namespace calicodrift::relay
