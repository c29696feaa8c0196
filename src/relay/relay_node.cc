#include "relay/relay_node.h"

#include <algorithm>
#include <boost/asio.hpp>
#include <utility>

#include "common/hashing.h"
#include "log/log.h"

namespace calicodrift::relay {

namespace asio = boost::asio;
using asio::awaitable;

RelayNode::RelayNode(asio::any_io_executor executor, store::ObjectStore& direct,
                     http::Client& client, RelaySettings settings)
    : executor_(std::move(executor)),
      settings_(std::move(settings)),
      store_(executor_, direct, RelayClient(client, settings_)),
      server_(settings_, [this](const std::string& kind) { return store_.cache(kind); }),
      lists_(direct, settings_.group),
      timer_(executor_),
      random_(hashBytes(settings_.node.value())) {
  store_.onRelayFailed(
      [this](const Endpoint& relay, const Error& cause) { onRelayFailed(relay, cause); });
  server_.onFollowerSentAway([this] { onFollowerSentAway(); });
}

void RelayNode::start() {
  if (settings_.endpoint.port != 0) {
    asio::co_spawn(executor_, run(), asio::detached);
  }
}

awaitable<void> RelayNode::run() {
  while (!stopped_) {
    switch (role_) {
      case Role::kUndecided:
        co_await decide();
        break;
      case Role::kFollower:
        // Until the relay fails.
        co_await pause(settings_.reviewInterval);
        break;
      case Role::kRelay:
        co_await review();
        co_await awaitReview();
        break;
    }
  }
}

awaitable<void> RelayNode::decide() {
  Result<RelayList> list = co_await lists_.read();
  if (stopped_) {
    co_return;
  }
  if (!list) {
    co_await pause(settings_.claimDelay + randomDelay(settings_.claimDelay));
    co_return;
  }
  if (list.value().contains(settings_.endpoint)) {
    becomeRelay();
    co_return;
  }
  const std::optional<Endpoint> relay = usableRelay(list.value());
  if (relay && list.value().relays.size() >= settings_.leastRelays) {
    follow(*relay);
    co_return;
  }
  if (!delayed_) {
    delayed_ = true;
    co_await pause(randomDelay(settings_.claimDelay));
    co_return;
  }
  co_await claim(std::move(list.value()));
}

awaitable<void> RelayNode::claim(RelayList list) {
  delayed_ = false;
  std::erase_if(list.relays, [this](const Relay& relay) {
    const auto failure = failures_.find(relay.endpoint);
    return failure != failures_.end() && !failure->second.full;
  });
  list.relays.push_back({settings_.endpoint, settings_.zone});
  const Result<void> written = co_await lists_.write(std::move(list));
  if (written) {
    becomeRelay();
  } else {
    // Another node was first, or it is not known whether this one was: the list tells.
    co_await pause(randomDelay(settings_.claimDelay));
  }
}

awaitable<void> RelayNode::review() {
  Result<std::vector<Endpoint>> relays = co_await lists_.readAll();
  if (!relays || stopped_) {
    // Another look soon, as others may have read the list meanwhile.
    maybeReplaced_ = true;
    co_return;
  }
  otherRelays_ = std::move(relays.value());
  const bool listed = std::erase(otherRelays_, settings_.endpoint) > 0;
  if (!listed && server_.followers(monotonicNow()) == 0) {
    server_.setServing(false);
    role_ = Role::kUndecided;
  }
}

awaitable<void> RelayNode::awaitReview() {
  if (role_ != Role::kRelay) {
    co_return;
  }
  if (!maybeReplaced_) {
    co_await pause(settings_.reviewInterval);
  }
  if (std::exchange(maybeReplaced_, false)) {
    // By then those that were sent away count as followers no longer.
    co_await pause(settings_.followerTerm + settings_.claimDelay);
  }
}

void RelayNode::onFollowerSentAway() {
  if (role_ == Role::kRelay && !maybeReplaced_) {
    maybeReplaced_ = true;
    timer_.cancel();
  }
}

awaitable<void> RelayNode::pause(Milliseconds time) {
  timer_.expires_after(time);
  co_await timer_.async_wait(asio::as_tuple(asio::use_awaitable));
}

void RelayNode::becomeRelay() {
  role_ = Role::kRelay;
  delayed_ = false;
  store_.readDirectly();
  server_.setServing(true);
  log::write(log::Level::kInfo, "relay_role",
             {{"role", "relay"}, {"address", settings_.endpoint.toString()}});
}

void RelayNode::follow(const Endpoint& relay) {
  role_ = Role::kFollower;
  delayed_ = false;
  server_.setServing(false);
  store_.follow(relay);
  log::write(log::Level::kInfo, "relay_role", {{"role", "follower"}, {"relay", relay.toString()}});
}

void RelayNode::onRelayFailed(const Endpoint& relay, const Error& cause) {
  failures_[relay] = {monotonicNow(), cause.kind == ErrorKind::kOverloaded};
  log::write(log::Level::kWarning, "relay_lost",
             {{"relay", relay.toString()}, {"cause", cause.detail}});
  role_ = Role::kUndecided;
  timer_.cancel();
}

std::optional<Endpoint> RelayNode::usableRelay(const RelayList& list) const {
  const MonotonicTime now = monotonicNow();
  std::optional<Endpoint> best;
  std::pair<bool, std::uint64_t> bestRank;
  for (const Relay& relay : list.relays) {
    const auto failure = failures_.find(relay.endpoint);
    if (failure != failures_.end() && now - failure->second.at < settings_.failureTerm) {
      continue;
    }
    // One of the node's own zone; the hash spreads the followers over several.
    const std::pair rank(relay.zone == settings_.zone,
                         hashBytes(settings_.node.value() + relay.endpoint.toString()));
    if (!best || rank > bestRank) {
      best = relay.endpoint;
      bestRank = rank;
    }
  }
  return best;
}

Milliseconds RelayNode::randomDelay(Milliseconds longest) {
  std::uniform_int_distribution<std::int64_t> any(0, longest.count());
  return Milliseconds(any(random_));
}

awaitable<void> RelayNode::stop() {
  stopped_ = true;
  server_.setServing(false);
  if (role_ != Role::kRelay) {
    co_return;
  }
  Result<RelayList> list = co_await lists_.read();
  const Relay own{settings_.endpoint, settings_.zone};
  if (list && std::erase(list.value().relays, own) > 0) {
    // A list that keeps this node costs its followers one refused connection each.
    const Result<void> written = co_await lists_.write(std::move(list.value()));
    static_cast<void>(written);
  }
}

}  // namespace calicodrift::relay
