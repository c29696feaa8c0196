#pragma once

#include <string>
#include <vector>

#include "relay/relay_list.h"

namespace calicodrift::relay {

/// The roots of other groups' trees, as listed in the store. The lists may be outdated: a node that
/// is no longer a root says so when it is called.
class RemoteGroupRoots {
 public:
  /// @param groups all groups of the fleet except this node's.
  RemoteGroupRoots(store::ObjectStore& store, const std::vector<std::string>& groups);

  /// The roots of all groups, read from the store at most kReadInterval ago. A list that cannot be
  /// read keeps its previous value.
  boost::asio::awaitable<std::vector<Endpoint>> read();
  /// The roots of one group.
  boost::asio::awaitable<std::vector<Endpoint>> readGroup(std::string group);

  /// How long a reading is used. Roots change only when one fails or stops; until the change is
  /// read, the other root of the group still answers.
  static constexpr Milliseconds kReadInterval{5000};

 private:
  boost::asio::awaitable<void> refresh();

  std::vector<std::string> groups_;
  std::vector<RelayListStore> lists_;
  std::vector<std::vector<Endpoint>> known_;
  MonotonicTime readAt_{};
};

}  // namespace calicodrift::relay
