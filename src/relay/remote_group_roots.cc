#include "relay/remote_group_roots.h"

#include <algorithm>

namespace calicodrift::relay {

using boost::asio::awaitable;

RemoteGroupRoots::RemoteGroupRoots(store::ObjectStore& store,
                                   const std::vector<std::string>& groups)
    : groups_(groups), known_(groups.size()) {
  for (const std::string& group : groups) {
    lists_.emplace_back(store, group);
  }
}

awaitable<void> RemoteGroupRoots::refresh() {
  const MonotonicTime now = monotonicNow();
  if (readAt_ == MonotonicTime{} || now - readAt_ >= kReadInterval) {
    readAt_ = now;
    for (std::size_t index = 0; index < lists_.size(); ++index) {
      const Result<RelayList> list = co_await lists_[index].read();
      if (!list) {
        continue;
      }
      known_[index].clear();
      for (const Relay& root : list.value().relays) {
        known_[index].push_back(root.endpoint);
      }
    }
  }
}

awaitable<std::vector<Endpoint>> RemoteGroupRoots::read() {
  co_await refresh();
  std::vector<Endpoint> all;
  for (const std::vector<Endpoint>& roots : known_) {
    all.insert(all.end(), roots.begin(), roots.end());
  }
  co_return all;
}

awaitable<std::vector<Endpoint>> RemoteGroupRoots::readGroup(std::string group) {
  co_await refresh();
  const auto found = std::find(groups_.begin(), groups_.end(), group);
  if (found == groups_.end()) {
    co_return std::vector<Endpoint>();
  }
  co_return known_[static_cast<std::size_t>(found - groups_.begin())];
}

}  // namespace calicodrift::relay
