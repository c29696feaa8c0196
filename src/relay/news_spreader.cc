#include "relay/news_spreader.h"

#include <algorithm>
#include <boost/asio.hpp>
#include <utility>

namespace calicodrift::relay {

namespace asio = boost::asio;
using asio::awaitable;

namespace {

/// A neighbour that did not answer is told again after so long: it may start anew meanwhile.
constexpr Milliseconds kSilencePause{1000};
/// Each neighbour has less time than this node, so that its answer comes in time.
constexpr double kTimeForNeighbours = 0.8;

}  // namespace

void NewsSpreader::tellSoon() {
  asio::co_spawn(context_.executor, tell(Milliseconds(0)), asio::detached);
}

awaitable<void> NewsSpreader::tell(Milliseconds time, std::string except) {
  const std::uint64_t version = context_.version();
  const MonotonicTime end = monotonicNow() + time;
  for (;;) {
    const MonotonicTime now = monotonicNow();
    bool pending = false;
    for (const Endpoint& neighbour : context_.neighbours()) {
      Peer& peer = peers_[neighbour.toString()];
      const bool knows = peer.told >= version;
      if (neighbour.toString() == except || knows || now < peer.silentUntil) {
        continue;
      }
      pending = true;
      if (!std::exchange(peer.calling, true)) {
        const Milliseconds left = std::chrono::ceil<Milliseconds>(end - now);
        asio::co_spawn(context_.executor, push(neighbour, left), asio::detached);
      }
    }
    if (!pending || now >= end) {
      co_return;
    }
    const auto timer = std::make_shared<asio::steady_timer>(context_.executor, end);
    const auto waiter = waiting_.insert(waiting_.end(), timer);
    co_await timer->async_wait(asio::as_tuple(asio::use_awaitable));
    waiting_.erase(waiter);
  }
}

awaitable<void> NewsSpreader::push(Endpoint neighbour, Milliseconds time) {
  const std::string name = neighbour.toString();
  const std::uint64_t version = context_.version();
  const Milliseconds wait(
      static_cast<std::int64_t>(static_cast<double>(time.count()) * kTimeForNeighbours));
  const std::uint64_t since = peers_[name].told;
  const bool taken =
      co_await context_.send(std::move(neighbour), since, wait, std::max(time, kTellTime));
  Peer& peer = peers_[name];
  peer.calling = false;
  if (taken) {
    peer.told = std::max(peer.told, version);
  } else {
    peer.silentUntil = monotonicNow() + kSilencePause;
  }
  for (const TimerPointer& waiter : waiting_) {
    waiter->cancel();
  }
  // What came meanwhile, where nobody waits.
  if (taken && peer.told < context_.version()) {
    tellSoon();
  }
}

void NewsSpreader::onNewsFrom(const std::string& neighbour, std::uint64_t before) {
  Peer& peer = peers_[neighbour];
  if (peer.told == before) {
    peer.told = context_.version();
  }
}

void NewsSpreader::setTold(const std::string& neighbour, std::uint64_t version) {
  peers_[neighbour].told = version;
}

void NewsSpreader::forgetFormerNeighbours() {
  const std::vector<Endpoint> now = context_.neighbours();
  std::erase_if(peers_, [&now](const auto& entry) {
    const auto isIt = [&entry](const Endpoint& one) { return one.toString() == entry.first; };
    return !entry.second.calling && std::none_of(now.begin(), now.end(), isIt);
  });
}

}  // namespace calicodrift::relay
