#include "relay/tree_broadcaster.h"

#include <algorithm>
#include <boost/asio.hpp>
#include <utility>

namespace calicodrift::relay {

namespace asio = boost::asio;
using asio::awaitable;

namespace {

/// Delay before a neighbour that did not answer is called again, since it may be restarting.
constexpr Milliseconds kRetryDelay{1000};
/// Share of this node's own time that each neighbour gets, so that its reply arrives in time.
constexpr double kNeighbourTimeShare = 0.8;

}  // namespace

void TreeBroadcaster::broadcastAsync() {
  asio::co_spawn(context_.executor, broadcast(Milliseconds(0)), asio::detached);
}

awaitable<void> TreeBroadcaster::broadcast(Milliseconds time, std::string except) {
  const std::uint64_t version = context_.version();
  const MonotonicTime end = monotonicNow() + time;
  for (;;) {
    const MonotonicTime now = monotonicNow();
    bool pending = false;
    for (const Endpoint& neighbour : context_.neighbours()) {
      Peer& peer = peers_[neighbour.toString()];
      const bool knows = peer.acknowledged >= version;
      if (neighbour.toString() == except || knows || now < peer.retryAt) {
        continue;
      }
      pending = true;
      if (!std::exchange(peer.callInFlight, true)) {
        const Milliseconds left = std::chrono::ceil<Milliseconds>(end - now);
        asio::co_spawn(context_.executor, push(neighbour, left), asio::detached);
      }
    }
    if (!pending || now >= end) {
      co_return;
    }
    const auto timer = std::make_shared<asio::steady_timer>(context_.executor, end);
    const auto waiter = waiters_.insert(waiters_.end(), timer);
    co_await timer->async_wait(asio::as_tuple(asio::use_awaitable));
    waiters_.erase(waiter);
  }
}

awaitable<void> TreeBroadcaster::push(Endpoint neighbour, Milliseconds time) {
  const std::string name = neighbour.toString();
  const std::uint64_t version = context_.version();
  const Milliseconds wait(
      static_cast<std::int64_t>(static_cast<double>(time.count()) * kNeighbourTimeShare));
  const std::uint64_t since = peers_[name].acknowledged;
  const bool taken =
      co_await context_.send(std::move(neighbour), since, wait, std::max(time, kBroadcastTimeout));
  Peer& peer = peers_[name];
  peer.callInFlight = false;
  if (taken) {
    peer.acknowledged = std::max(peer.acknowledged, version);
  } else {
    peer.retryAt = monotonicNow() + kRetryDelay;
  }
  for (const TimerPointer& waiter : waiters_) {
    waiter->cancel();
  }
  // Sends changes that arrived during the call, which no caller waits for.
  if (taken && peer.acknowledged < context_.version()) {
    broadcastAsync();
  }
}

void TreeBroadcaster::onUpdateFrom(const std::string& neighbour, std::uint64_t before) {
  Peer& peer = peers_[neighbour];
  if (peer.acknowledged == before) {
    peer.acknowledged = context_.version();
  }
}

void TreeBroadcaster::setAcknowledged(const std::string& neighbour, std::uint64_t version) {
  peers_[neighbour].acknowledged = version;
}

void TreeBroadcaster::pruneNeighbours() {
  const std::vector<Endpoint> now = context_.neighbours();
  std::erase_if(peers_, [&now](const auto& entry) {
    const auto isIt = [&entry](const Endpoint& one) { return one.toString() == entry.first; };
    return !entry.second.callInFlight && std::none_of(now.begin(), now.end(), isIt);
  });
}

}  // namespace calicodrift::relay
