// Checks of direct paths: silent servers, lost paths, and the nodes that open tunnels.

#include <algorithm>
#include <boost/asio.hpp>

#include "log/log.h"
#include "peer/http_call.h"
#include "server_paths/server_paths.h"

namespace calicodrift::server_paths {
namespace {

namespace asio = boost::asio;
using asio::awaitable;

/// Bounds the probes that a node with thousands of lost paths starts in one tick.
constexpr std::size_t kProbesPerTick = 16;
/// Losses within this time after a sweep has begun do not begin another one.
constexpr Milliseconds kSweepInterval{1000};
/// Pauses between two checks of a server that is silent although its path works.
constexpr Milliseconds kFirstCheckPause{500};
constexpr Milliseconds kMaxCheckPause{4000};
/// Other nodes are learnt of so often: while no path is lost, and while one is.
constexpr Milliseconds kPeersInterval{30'000};
constexpr Milliseconds kPeersIntervalWhileLost{1000};
/// While none is known.
constexpr Milliseconds kFirstPeersInterval{500};
constexpr std::size_t kMaxPeersAsked = 3;
constexpr Milliseconds kWatchInterval{250};
constexpr Milliseconds kStatusTimeout{200};
/// Unanswered status queries in a row after which a node counts as lost.
constexpr int kMaxMissedStatuses = 2;
/// A node through which no call has passed for so long is no longer watched.
constexpr Milliseconds kWatchTime{10'000};

}  // namespace

awaitable<void> ServerPaths::tick() {
  asio::steady_timer timer(context_.executor);
  for (;;) {
    timer.expires_after(settings_.tickInterval);
    co_await timer.async_wait(asio::use_awaitable);
    const MonotonicTime now = monotonicNow();
    calls_.removeEnded();
    if (!calls_.empty()) {
      checkSilentServers(now);
    }
    continueSweep(now);
    if (table_.lostCount() == 0) {
      continue;
    }
    table_.retain(context_.isListed);
    context_.metrics.setLost(table_.lostCount());
    for (const Endpoint& server : table_.takeDueProbes(kProbesPerTick, now)) {
      if (probing_.insert(server).second) {
        asio::co_spawn(context_.executor, probeDirect(server), asio::detached);
      }
    }
    moveSilentCalls(
        [this](const http::ConnectionPath& path) {
          return path.direct() && table_.isLost(path.endpoint);
        },
        settings_.suspectSilence, kPathLost);
  }
}

void ServerPaths::moveSilentCalls(const std::function<bool(const http::ConnectionPath&)>& onPath,
                                  Milliseconds silence, std::string_view reason) {
  const std::size_t moved = calls_.endSilent(onPath, silence, reason, monotonicNow());
  for (std::size_t number = 0; number < moved; ++number) {
    context_.metrics.countMoved();
  }
}

void ServerPaths::checkSilentServers(MonotonicTime now) {
  if (peers_->empty()) {
    return;
  }
  const bool suspect = table_.suspectSince(now).has_value();
  const Milliseconds silence = suspect ? settings_.suspectSilence : settings_.silenceBeforeCheck;
  for (const Endpoint& server : calls_.silentServers(silence, now)) {
    if (!table_.isLost(server)) {
      startCheck(server, now);
    }
  }
}

void ServerPaths::startCheck(const Endpoint& server, MonotonicTime now) {
  PathCheck& check = checks_[server];
  if (check.underWay || now < check.nextAt) {
    return;
  }
  check.underWay = true;
  context_.metrics.countCheck();
  asio::co_spawn(context_.executor, checkPath(server), asio::detached);
}

void ServerPaths::beginSweep(MonotonicTime now) {
  const bool recent = sweptAt_ != MonotonicTime{} && now - sweptAt_ < kSweepInterval;
  if (recent || peers_->empty()) {
    return;
  }
  sweptAt_ = now;
  const std::vector<Endpoint> servers = recentServers_.used(now);
  sweep_.assign(servers.begin(), servers.end());
  continueSweep(now);
}

void ServerPaths::continueSweep(MonotonicTime now) {
  for (std::size_t started = 0; !sweep_.empty() && started < kProbesPerTick; ++started) {
    const Endpoint server = std::move(sweep_.front());
    sweep_.pop_front();
    if (!table_.isLost(server) && context_.isListed(server)) {
      // What an earlier check has found is of before the loss.
      checks_[server].nextAt = now;
      startCheck(server, now);
    }
  }
}

awaitable<void> ServerPaths::checkPath(Endpoint server) {
  const bool direct = co_await answersDirectly(server);
  bool relayed = false;
  if (!direct) {
    relayed = co_await answersThroughPeer(server);
  }
  if (relayed) {
    loseDirectPath(server, "no answer on a new connection, and one through another node");
  } else if (!direct) {
    context_.onSilent(server);
    moveSilentCalls([&](const http::ConnectionPath& path) { return path.endpoint == server; },
                    settings_.maxServerSilence, kServerSilent);
  }
  std::erase_if(checks_, [](const auto& item) {
    return !item.second.underWay && monotonicNow() - item.second.nextAt > kMaxCheckPause;
  });
  PathCheck& check = checks_[server];
  check.underWay = false;
  check.pause = direct ? std::clamp(2 * check.pause, kFirstCheckPause, kMaxCheckPause)
                       : settings_.silenceBeforeCheck;
  check.nextAt = monotonicNow() + check.pause;
}

awaitable<void> ServerPaths::probeDirect(Endpoint server) {
  const bool answers = co_await answersDirectly(server);
  if (answers) {
    regainDirectPath(server);
  }
  probing_.erase(server);
}

awaitable<bool> ServerPaths::answersDirectly(Endpoint server) {
  http::ConnectOptions options;
  options.use = http::ConnectionUse::kFresh;
  options.timeout = settings_.checkTimeout;
  Result<http::ClientConnection> connection =
      co_await context_.client.connect(http::ConnectionPath(std::move(server)), options);
  if (!connection) {
    co_return false;
  }
  co_return co_await answersOn(std::move(connection.value()));
}

awaitable<bool> ServerPaths::answersThroughPeer(Endpoint server) {
  PathOptions options;
  options.use = http::ConnectionUse::kFresh;
  Result<http::ClientConnection> connection = co_await connectRelayed(std::move(server), options);
  if (!connection) {
    co_return false;
  }
  co_return co_await answersOn(std::move(connection.value()));
}

awaitable<bool> ServerPaths::answersOn(http::ClientConnection connection) {
  std::optional<http::Request> query = context_.pathQuery(connection.path().endpoint);
  if (!query) {
    context_.client.release(connection);
    co_return true;
  }
  http::ExchangeOptions options;
  options.headerTimeout = settings_.checkTimeout;
  options.bodyTimeout = settings_.checkTimeout;
  http::boundToShortAnswer(options);
  auto opened = co_await context_.client.send(std::move(connection), std::move(*query), options);
  if (!opened) {
    co_return false;
  }
  // Read to its end, so that the connection can be used again; any answer shows that the path
  // works.
  const Result<http::Response> answer =
      co_await http::readWhole(*opened.value(), http::UnframedBody::kAccept);
  co_return answer.has_value();
}

awaitable<Result<TunnelStatus>> ServerPaths::askStatus(Endpoint peer) {
  TunnelStatusQuery query;
  query.node = settings_.node;
  co_return co_await peer::callPeer<TunnelStatus>(context_.client, std::move(peer),
                                                  kTunnelStatusPath, std::move(query),
                                                  kStatusTimeout, kStatusTimeout);
}

awaitable<std::optional<bool>> ServerPaths::serverEndedTunnel(http::Tunnel tunnel) {
  const TunnelEndQuery query{tunnel.id.value()};
  const Result<TunnelEnd> end =
      co_await peer::callPeer<TunnelEnd>(context_.client, std::move(tunnel.proxy), kTunnelEndPath,
                                         query, kStatusTimeout, kStatusTimeout);
  if (!end && end.error().reason == peer::kUnknownPath) {
    co_return false;
  }
  co_return end ? std::optional(end.value().endedByServer) : std::nullopt;
}

awaitable<void> ServerPaths::learnPeers() {
  asio::steady_timer timer(context_.executor);
  for (;;) {
    std::vector<Endpoint> asked = context_.neighbours();
    peers_->learn(asked, monotonicNow());
    std::shuffle(asked.begin(), asked.end(), random_);
    asked.resize(std::min(asked.size(), kMaxPeersAsked));
    for (const Endpoint& peer : asked) {
      co_await askForPeers(peer);
    }
    Milliseconds interval = table_.lostCount() > 0 ? kPeersIntervalWhileLost : kPeersInterval;
    if (peers_->empty()) {
      interval = kFirstPeersInterval;
    }
    const MonotonicTime until = monotonicNow() + interval;
    const bool wasLost = table_.lostCount() > 0;
    peersStale_ = false;
    while (monotonicNow() < until && !peersStale_ && (wasLost || table_.lostCount() == 0)) {
      timer.expires_after(std::min(interval, kFirstPeersInterval));
      co_await timer.async_wait(asio::use_awaitable);
      peers_->learn(context_.neighbours(), monotonicNow());
    }
  }
}

awaitable<void> ServerPaths::askForPeers(Endpoint peer) {
  const Result<TunnelStatus> status = co_await askStatus(peer);
  if (status) {
    peers_->learn(status.value().neighbours, monotonicNow());
  }
}

void ServerPaths::startWatching(const Endpoint& peer) {
  if (watched_.insert(peer).second) {
    asio::co_spawn(context_.executor, watchPeer(peer), asio::detached);
  }
}

awaitable<void> ServerPaths::watchPeer(Endpoint peer) {
  asio::steady_timer timer(context_.executor);
  MonotonicTime usedAt = monotonicNow();
  int missed = 0;
  while (monotonicNow() - usedAt < kWatchTime && missed < kMaxMissedStatuses) {
    timer.expires_after(kWatchInterval);
    co_await timer.async_wait(asio::use_awaitable);
    const Result<TunnelStatus> status = co_await askStatus(peer);
    missed = status ? 0 : missed + 1;
    if (status && !status.value().accepts) {
      // Idle tunnels would keep a stopping node from its end; those in use end with their calls.
      peers_->recordDeclined(peer, monotonicNow());
      context_.client.dropConnectionsThrough(peer);
    }
    if (calls_.anyThrough(peer)) {
      usedAt = monotonicNow();
    }
  }
  watched_.erase(peer);
  if (missed == kMaxMissedStatuses) {
    losePeer(peer, "it does not answer");
  } else {
    context_.client.dropConnectionsThrough(peer);
  }
}

void ServerPaths::losePeer(const Endpoint& peer, std::string_view cause) {
  const MonotonicTime now = monotonicNow();
  log::write(log::Level::kWarning, "tunnel_peer_lost",
             {{"peer", peer.toString()}, {"cause", std::string(cause)}});
  peers_->recordFailed(peer, now);
  context_.client.dropConnectionsThrough(peer);
  moveSilentCalls([&](const http::ConnectionPath& path) { return path.proxy == peer; },
                  settings_.suspectSilence, kPathLost);
}

}  // namespace calicodrift::server_paths
