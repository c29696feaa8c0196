#include "relay/other_roots.h"

namespace calicodrift::relay {

using boost::asio::awaitable;

OtherRoots::OtherRoots(store::ObjectStore& store, const std::vector<std::string>& groups)
    : known_(groups.size()) {
  for (const std::string& group : groups) {
    lists_.emplace_back(store, group);
  }
}

awaitable<std::vector<Endpoint>> OtherRoots::read() {
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
  std::vector<Endpoint> all;
  for (const std::vector<Endpoint>& roots : known_) {
    all.insert(all.end(), roots.begin(), roots.end());
  }
  co_return all;
}

}  // namespace calicodrift::relay
