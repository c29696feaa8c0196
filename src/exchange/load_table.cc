#include "exchange/load_table.h"

namespace calicodrift::exchange {

void addLoads(fleet::ServerLoads& sum, const fleet::ServerLoads& more) {
  for (const auto& [server, load] : more) {
    sum[server] += load;
  }
}

void LoadTable::setFollower(const std::string& node, fleet::ServerLoads loads, MonotonicTime now) {
  followers_[node] = {std::move(loads), now};
}

void LoadTable::setGroup(const std::string& relay, fleet::ServerLoads loads, MonotonicTime now) {
  groups_[relay] = {std::move(loads), now};
}

fleet::ServerLoads LoadTable::followers(const std::string& except, MonotonicTime now) const {
  return sum(followers_, except, now);
}

fleet::ServerLoads LoadTable::groups(MonotonicTime now) const {
  return sum(groups_, "", now);
}

fleet::ServerLoads LoadTable::sum(const Reports& reports, const std::string& except,
                                  MonotonicTime now) const {
  fleet::ServerLoads total;
  for (const auto& [sender, report] : reports) {
    if (sender != except && now - report.at <= term_) {
      addLoads(total, report.loads);
    }
  }
  return total;
}

void LoadTable::expire(MonotonicTime now) {
  const auto expired = [this, now](const auto& report) { return now - report.second.at > term_; };
  std::erase_if(followers_, expired);
  std::erase_if(groups_, expired);
}

}  // namespace calicodrift::exchange
