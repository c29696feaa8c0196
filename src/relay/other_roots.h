#pragma once

#include <string>
#include <vector>

#include "relay/relay_list.h"

namespace calicodrift::relay {

/// The roots of other groups' trees, as the store lists them. A hint, as those lists are: who is
/// asked may be no root any more, and says so.
class OtherRoots {
 public:
  /// @param groups those of the fleet but this node's.
  OtherRoots(store::ObjectStore& store, const std::vector<std::string>& groups);

  /// All of them, as read a short time ago or now. Lists that can't be read stay as they were.
  boost::asio::awaitable<std::vector<Endpoint>> read();
  /// Those of one group.
  boost::asio::awaitable<std::vector<Endpoint>> readOf(std::string group);

  /// Roots change when one fails or stops; until the change is read the other root of the group
  /// still answers.
  static constexpr Milliseconds kReadInterval{5000};

 private:
  boost::asio::awaitable<void> refresh();

  std::vector<std::string> groups_;
  std::vector<RelayListStore> lists_;
  std::vector<std::vector<Endpoint>> known_;
  MonotonicTime readAt_{};
};

}  // namespace calicodrift::relay
