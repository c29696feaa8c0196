// Checks of direct paths: silent servers, lost paths, and the nodes that open tunnels.

#include <algorithm>
#include <boost/asio.hpp>

#include "log/log.h"
#include "peer/http_call.h"
#include "server_paths/path_inquiry.h"
#include "server_paths/server_paths.h"

namespace calicodrift::server_paths {
namespace {

namespace asio = boost::asio;
using asio::awaitable;

/// Bounds the probes that a node with thousands of lost paths starts in one tick.
constexpr std::size_t kProbesPerTick = 16;
/// Losses within this time after a sweep has begun do not begin another one.
constexpr Milliseconds kSweepInterval{1000};
/// A direct question stays outstanding for so long, as other nodes are asked meanwhile.
constexpr Milliseconds kDirectQuestionTime{1000};
/// What was asked first may be answered so long after what was asked later.
constexpr Milliseconds kAnswerOrderGrace{50};
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

void ServerPaths::startCheck(const Endpoint& server, MonotonicTime now, Witness witness) {
  PathCheck& check = checks_[server];
  const bool rests = witness == Witness::kNone && now < check.nextAt;
  if (check.underWay || rests) {
    return;
  }
  check.underWay = true;
  context_.metrics.countCheck();
  asio::co_spawn(context_.executor, checkPath(server, witness), asio::detached);
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

awaitable<void> ServerPaths::checkPath(Endpoint server, Witness witness) {
  const PathState state = co_await findPathState(server, witness);
  if (state == PathState::kLost) {
    loseDirectPath(server, "no answer on a new connection, and one through another node");
  } else if (state == PathState::kSilent) {
    context_.onSilent(server);
    moveSilentCalls([&](const http::ConnectionPath& path) { return path.endpoint == server; },
                    settings_.maxServerSilence, kServerSilent);
  }
  std::erase_if(checks_, [](const auto& item) {
    return !item.second.underWay && monotonicNow() - item.second.nextAt > kMaxCheckPause;
  });
  PathCheck& check = checks_[server];
  check.underWay = false;
  check.pause = state == PathState::kWorks
                    ? std::clamp(2 * check.pause, kFirstCheckPause, kMaxCheckPause)
                    : settings_.silenceBeforeCheck;
  check.nextAt = monotonicNow() + check.pause;
}

awaitable<ServerPaths::PathState> ServerPaths::findPathState(Endpoint server, Witness witness) {
  auto inquiry = std::make_shared<PathInquiry>(context_.executor);
  if (witness == Witness::kNone) {
    co_await askOnBothPaths(inquiry, 0, server);
    if (inquiry->answeredDirectly()) {
      co_return PathState::kWorks;
    }
    if (inquiry->rounds[0].relayed.answered != true) {
      co_return PathState::kSilent;
    }
  }
  // The server may have stood still until another node reached it: only a direct question that
  // begins now tells.
  co_await askOnBothPaths(inquiry, 1, server);
  if (inquiry->answeredDirectly()) {
    co_return PathState::kWorks;
  }
  co_await awaitDirectAnswer(inquiry, 1);
  if (inquiry->answeredDirectly()) {
    co_return PathState::kWorks;
  }
  const PathInquiry::Question& direct = inquiry->rounds[1].direct;
  const PathInquiry::Question& relayed = inquiry->rounds[1].relayed;
  const bool outstanding = !direct.answered || !direct.timedOut || direct.endedAt > relayed.endedAt;
  co_return relayed.answered == true && outstanding ? PathState::kLost : PathState::kSilent;
}

awaitable<void> ServerPaths::askOnBothPaths(std::shared_ptr<PathInquiry> inquiry, std::size_t round,
                                            Endpoint server) {
  PathInquiry::Question& direct = inquiry->rounds[round].direct;
  PathInquiry::Question& relayed = inquiry->rounds[round].relayed;
  asio::co_spawn(context_.executor, askDirectly(inquiry, round, server), asio::detached);
  const MonotonicTime witnessAt = monotonicNow() + settings_.witnessDelay;
  while (!inquiry->answeredDirectly() && !direct.failed() && monotonicNow() < witnessAt) {
    co_await inquiry->wait(witnessAt);
  }
  if (inquiry->answeredDirectly()) {
    co_return;
  }
  asio::co_spawn(context_.executor, askThroughPeer(inquiry, round, server), asio::detached);
  while (!inquiry->answeredDirectly() && !relayed.answered) {
    co_await inquiry->wait(MonotonicTime::max());
  }
  if (relayed.failed()) {
    co_await awaitDirectAnswer(inquiry, round);
  }
}

awaitable<void> ServerPaths::awaitDirectAnswer(std::shared_ptr<PathInquiry> inquiry,
                                               std::size_t round) {
  const PathInquiry::Question& direct = inquiry->rounds[round].direct;
  const PathInquiry::Question& relayed = inquiry->rounds[round].relayed;
  while (!inquiry->answeredDirectly() && !direct.failed()) {
    const MonotonicTime until =
        std::max(direct.stepAt + settings_.checkTimeout, relayed.endedAt + kAnswerOrderGrace);
    if (monotonicNow() >= until) {
      co_return;
    }
    co_await inquiry->wait(until);
  }
}

awaitable<void> ServerPaths::askDirectly(std::shared_ptr<PathInquiry> inquiry, std::size_t round,
                                         Endpoint server) {
  PathInquiry::Question& question = inquiry->rounds[round].direct;
  inquiry->begin(question);
  Result<http::ClientConnection> connection =
      co_await connectFresh(std::move(server), kDirectQuestionTime);
  if (!connection) {
    inquiry->end(question, false, kDirectQuestionTime);
    co_return;
  }
  inquiry->passStep(question);
  const bool answered = co_await answersOn(std::move(connection.value()), kDirectQuestionTime);
  inquiry->end(question, answered, kDirectQuestionTime);
}

awaitable<void> ServerPaths::askThroughPeer(std::shared_ptr<PathInquiry> inquiry, std::size_t round,
                                            Endpoint server) {
  PathInquiry::Question& question = inquiry->rounds[round].relayed;
  inquiry->begin(question);
  PathOptions options;
  options.use = http::ConnectionUse::kFresh;
  Result<http::ClientConnection> connection = co_await connectRelayed(std::move(server), options);
  bool answered = false;
  if (connection) {
    inquiry->passStep(question);
    answered = co_await answersOn(std::move(connection.value()), settings_.checkTimeout);
  }
  inquiry->end(question, answered, settings_.checkTimeout);
}

awaitable<void> ServerPaths::probeDirect(Endpoint server) {
  Result<http::ClientConnection> connection = co_await connectFresh(server, settings_.checkTimeout);
  bool answers = false;
  if (connection) {
    answers = co_await answersOn(std::move(connection.value()), settings_.checkTimeout);
  }
  if (answers) {
    regainDirectPath(server);
  }
  probing_.erase(server);
}

awaitable<Result<http::ClientConnection>> ServerPaths::connectFresh(Endpoint server,
                                                                    Milliseconds timeout) {
  http::ConnectOptions options;
  options.use = http::ConnectionUse::kFresh;
  options.timeout = timeout;
  co_return co_await context_.client.connect(http::ConnectionPath(std::move(server)), options);
}

awaitable<bool> ServerPaths::answersOn(http::ClientConnection connection, Milliseconds timeout) {
  std::optional<http::Request> query = context_.pathQuery(connection.path().endpoint);
  if (!query) {
    context_.client.release(connection);
    co_return true;
  }
  http::ExchangeOptions options;
  options.headerTimeout = timeout;
  options.bodyTimeout = timeout;
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
  const bool knowsNothing = !end && (end.error().reason == peer::kUnknownPath ||
                                     end.error().reason == http::kConnectionRefused);
  if (knowsNothing) {
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
  while (monotonicNow() - usedAt < kWatchTime) {
    timer.expires_after(kWatchInterval);
    co_await timer.async_wait(asio::use_awaitable);
    const Result<TunnelStatus> status = co_await askStatus(peer);
    missed = status ? 0 : missed + 1;
    if (status && !status.value().accepts) {
      // Idle tunnels would keep a stopping node from its end; those in use end with their calls.
      peers_->recordDeclined(peer, monotonicNow());
      context_.client.dropConnectionsThrough(peer);
    }
    if (missed == kMaxMissedStatuses) {
      losePeer(peer, "it does not answer");
    }
    if (missed >= kMaxMissedStatuses) {
      // A node that stands still may go on, as a server may.
      moveSilentCalls([&](const http::ConnectionPath& path) { return path.proxy == peer; },
                      settings_.maxServerSilence, kPathLost);
    }
    const bool used = calls_.anyThrough(peer);
    if (used) {
      usedAt = monotonicNow();
    } else if (missed >= kMaxMissedStatuses) {
      break;
    }
  }
  watched_.erase(peer);
  context_.client.dropConnectionsThrough(peer);
}

void ServerPaths::losePeer(const Endpoint& peer, std::string_view cause) {
  const MonotonicTime now = monotonicNow();
  log::write(log::Level::kWarning, "tunnel_peer_lost",
             {{"peer", peer.toString()}, {"cause", std::string(cause)}});
  peers_->recordFailed(peer, now);
  context_.client.dropConnectionsThrough(peer);
}

}  // namespace calicodrift::server_paths
