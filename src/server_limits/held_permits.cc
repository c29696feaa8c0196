#include "server_limits/held_permits.h"

#include <algorithm>

namespace calicodrift::server_limits {

void HeldPermits::add(fleet::ServerKey server, std::uint64_t number, MonotonicTime now) {
  servers_[server][number] = now;
}

void HeldPermits::remove(fleet::ServerKey server, std::uint64_t number) {
  const auto found = servers_.find(server);
  if (found == servers_.end()) {
    return;
  }
  found->second.erase(number);
  if (found->second.empty()) {
    servers_.erase(found);
  }
}

std::vector<std::uint64_t> HeldPermits::numbersFor(fleet::ServerKey server) const {
  std::vector<std::uint64_t> numbers;
  const auto found = servers_.find(server);
  if (found != servers_.end()) {
    for (const auto& [number, told] : found->second) {
      numbers.push_back(number);
    }
  }
  return numbers;
}

std::vector<fleet::ServerKey> HeldPermits::takeDue(MonotonicTime now) {
  std::vector<fleet::ServerKey> due;
  for (auto& [server, told] : servers_) {
    const bool isDue = std::any_of(told.begin(), told.end(), [now](const auto& item) {
      return now - item.second >= kRenewAfter;
    });
    if (!isDue) {
      continue;
    }
    due.push_back(server);
    for (auto& [number, at] : told) {
      at = now;
    }
  }
  return due;
}

}  // namespace calicodrift::server_limits
