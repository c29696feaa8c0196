#include "server_paths/calls_in_flight.h"

#include <algorithm>

namespace calicodrift::server_paths {

std::shared_ptr<CallInFlight> CallsInFlight::begin(http::ConnectionPath path,
                                                   MovePermission mayMove,
                                                   http::ExchangeCanceller* canceller,
                                                   MonotonicTime now) {
  const Endpoint server = path.endpoint;
  auto call = std::make_shared<CallInFlight>(std::move(path), std::move(mayMove), canceller, now);
  servers_[server].calls.push_back(call);
  return call;
}

void CallsInFlight::recordBytes(CallInFlight& call, MonotonicTime now) {
  call.lastBytesAt = now;
  const auto found = servers_.find(call.path.endpoint);
  if (call.path.direct() && found != servers_.end()) {
    found->second.heardAt = now;
  }
}

std::vector<Endpoint> CallsInFlight::silentServers(Milliseconds silence, MonotonicTime now) const {
  std::vector<Endpoint> silent;
  for (const auto& [endpoint, server] : servers_) {
    const bool found = std::any_of(server.calls.begin(), server.calls.end(), [&](const auto& weak) {
      const auto call = weak.lock();
      return call && call->path.direct() && now - call->lastBytesAt >= silence &&
             server.heardAt <= call->lastBytesAt;
    });
    if (found) {
      silent.push_back(endpoint);
    }
  }
  return silent;
}

std::size_t CallsInFlight::endSilent(const std::function<bool(const http::ConnectionPath&)>& onPath,
                                     Milliseconds silence, std::string_view reason,
                                     MonotonicTime now) {
  // Cancelling may resume the caller, which may end or begin calls: collected first.
  std::vector<std::shared_ptr<CallInFlight>> ending;
  for (const auto& [endpoint, server] : servers_) {
    for (const auto& weak : server.calls) {
      const auto call = weak.lock();
      const bool movable =
          call && call->mayMove && call->canceller != nullptr && call->endedFor.empty();
      if (movable && now - call->lastBytesAt >= silence && onPath(call->path)) {
        ending.push_back(call);
      }
    }
  }
  std::size_t ended = 0;
  for (const auto& call : ending) {
    if (call->mayMove()) {
      call->endedFor = reason;
      call->canceller->cancel();
      ++ended;
    }
  }
  return ended;
}

bool CallsInFlight::anyThrough(const Endpoint& proxy) const {
  for (const auto& [endpoint, server] : servers_) {
    for (const auto& weak : server.calls) {
      const auto call = weak.lock();
      if (call && call->path.proxy == proxy) {
        return true;
      }
    }
  }
  return false;
}

void CallsInFlight::removeEnded() {
  for (auto& [endpoint, server] : servers_) {
    std::erase_if(server.calls, [](const auto& weak) { return weak.expired(); });
  }
  std::erase_if(servers_, [](const auto& item) { return item.second.calls.empty(); });
}

}  // namespace calicodrift::server_paths
