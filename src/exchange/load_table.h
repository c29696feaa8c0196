#pragma once

#include <map>
#include <string>

#include "common/clock.h"
#include "fleet/server_load.h"

namespace calicodrift::exchange {

/// Latest load reports received by a node: from its children, each covering its whole subtree, and
/// from its parent or the other roots, covering all nodes elsewhere. A report that is not renewed
/// within the term is ignored, so that the load of a node that died disappears with it.
class LoadTable {
 public:
  explicit LoadTable(Milliseconds term) : term_(term) {}

  void setFollower(const std::string& node, fleet::ServerLoads loads, MonotonicTime now);
  void setGroup(const std::string& relay, fleet::ServerLoads loads, MonotonicTime now);

  /// Sum of the load of this relay's followers, excluding `except`.
  fleet::ServerLoads followers(const std::string& except, MonotonicTime now) const;
  /// Sum of the load of the other relays' groups.
  fleet::ServerLoads groups(MonotonicTime now) const;
  /// Removes the group reported by this relay.
  void removeGroup(const std::string& relay) { groups_.erase(relay); }
  /// Removes expired reports.
  void expire(MonotonicTime now);

 private:
  struct Report {
    fleet::ServerLoads loads;
    MonotonicTime at{};
  };
  using Reports = std::map<std::string, Report>;

  fleet::ServerLoads sum(const Reports& reports, const std::string& except,
                         MonotonicTime now) const;

  Milliseconds term_;
  Reports followers_;
  Reports groups_;
};

/// Adds `more` to `sum`, server by server.
void addLoads(fleet::ServerLoads& sum, const fleet::ServerLoads& more);

}  // namespace calicodrift::exchange
