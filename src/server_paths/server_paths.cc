#include "server_paths/server_paths.h"

#include <algorithm>
#include <boost/asio.hpp>

#include "log/log.h"
#include "server_paths/connection_race.h"

namespace calicodrift::server_paths {
namespace {

namespace asio = boost::asio;
using asio::awaitable;

/// Nodes that are asked for a tunnel for one call, one after the other.
constexpr std::size_t kMaxPeerTries = 3;
/// Nodes whose word is enough that the server itself cannot be reached.
constexpr std::size_t kUnreachableWitnesses = 2;
/// An attempt through another node may end so long after the direct one.
constexpr Milliseconds kRelayGrace{150};
/// A TCP handshake takes one round trip; the rest allows for a lost packet or a slow process.
constexpr double kConnectRoundTrips = 4;

Milliseconds roundTrips(double count, double rttMs) {
  return Milliseconds(static_cast<std::int64_t>(count * rttMs));
}

}  // namespace

ServerPaths::ServerPaths(ServerPathsContext context, ServerPathsSettings settings,
                         std::uint64_t seed)
    : context_(std::move(context)),
      settings_(std::move(settings)),
      table_(settings_.table),
      peers_(std::make_shared<PeerTable>(settings_.endpoint)),
      random_(seed) {}

void ServerPaths::start() {
  if (settings_.endpoint.port != 0) {
    asio::co_spawn(context_.executor, tick(), asio::detached);
    asio::co_spawn(context_.executor, learnPeers(), asio::detached);
  }
}

bool ServerPaths::mayRelay(const PathOptions& options) const {
  return options.relay == RelayUse::kAllowed && !peers_->empty();
}

http::ConnectOptions ServerPaths::directOptions(const PathOptions& options) const {
  http::ConnectOptions connecting;
  connecting.use = options.use;
  connecting.timeout = options.connectTimeout;
  connecting.unacknowledgedTimeout = options.unacknowledgedTimeout;
  connecting.request = options.request;
  connecting.canceller = options.canceller;
  return connecting;
}

Milliseconds ServerPaths::hedgeDelay(const PathOptions& options, MonotonicTime now) const {
  const bool suspect = table_.suspectSince(now).has_value();
  return std::max(suspect ? settings_.suspectHedgeDelay : settings_.hedgeDelay,
                  roundTrips(kConnectRoundTrips, options.rttMs));
}

awaitable<Result<http::ClientConnection>> ServerPaths::connect(Endpoint server,
                                                               PathOptions options) {
  if (!mayRelay(options)) {
    co_return co_await context_.client.connect(http::ConnectionPath(std::move(server)),
                                               directOptions(options));
  }
  if (table_.isLost(server)) {
    co_return co_await connectLost(std::move(server), options);
  }
  if (options.use == http::ConnectionUse::kPooled) {
    const auto direct = [](const http::ConnectionPath& path) { return path.direct(); };
    const MonotonicTime usedSince =
        table_.suspectSince(monotonicNow()).value_or(MonotonicTime::min());
    if (auto idle = context_.client.takeIdle(server, direct, usedSince, options.request)) {
      co_return std::move(*idle);
    }
  }
  co_return co_await race(std::move(server), options);
}

awaitable<Result<http::ClientConnection>> ServerPaths::connectLost(Endpoint server,
                                                                   PathOptions options) {
  Result<http::ClientConnection> relayed = co_await connectRelayed(server, options);
  const bool cancelled = options.canceller != nullptr && options.canceller->cancelled();
  if (relayed || cancelled) {
    co_return relayed;
  }
  // The other nodes may have been cut off as well, and the direct path may have come back.
  http::ConnectOptions connecting = directOptions(options);
  connecting.use = http::ConnectionUse::kFresh;
  connecting.timeout = std::min(options.connectTimeout, settings_.checkTimeout);
  Result<http::ClientConnection> direct =
      co_await context_.client.connect(http::ConnectionPath(server), connecting);
  if (direct) {
    regainDirectPath(server);
    co_return direct;
  }
  co_return relayed;
}

awaitable<Result<http::ClientConnection>> ServerPaths::race(Endpoint server, PathOptions options) {
  const MonotonicTime begin = monotonicNow();
  auto race = std::make_shared<Race>(context_.executor);
  if (options.canceller != nullptr) {
    options.canceller->attach([race] { race->cancel(); });
  }
  http::ConnectOptions connecting = directOptions(options);
  connecting.use = http::ConnectionUse::kFresh;
  connecting.canceller = &race->directCanceller;
  asio::co_spawn(context_.executor, runDirect(race, server, connecting), asio::detached);
  co_await race->wait(&Race::directEnded, begin + hedgeDelay(options, begin));
  if (!Race::connected(race->direct) && !race->cancelled) {
    options.canceller = &race->relayedCanceller;
    asio::co_spawn(context_.executor, runRelayed(race, server, options), asio::detached);
    co_await race->wait(&Race::decided, begin + options.connectTimeout + kRelayGrace);
  }
  co_return judge(*race, server);
}

awaitable<void> ServerPaths::runDirect(std::shared_ptr<Race> race, Endpoint server,
                                       http::ConnectOptions options) {
  Result<http::ClientConnection> result =
      co_await context_.client.connect(http::ConnectionPath(server), options);
  if (!race->over) {
    static_cast<void>(race->finish(race->direct, std::move(result)));
    co_return;
  }
  // The connection through another node is used already.
  if (result) {
    context_.client.release(result.value());
  }
}

awaitable<void> ServerPaths::runRelayed(std::shared_ptr<Race> race, Endpoint server,
                                        PathOptions options) {
  Result<http::ClientConnection> result = co_await connectRelayed(std::move(server), options);
  static_cast<void>(race->finish(race->relayed, std::move(result)));
}

Result<http::ClientConnection> ServerPaths::judge(Race& race, const Endpoint& server) {
  race.over = true;
  if (race.cancelled) {
    return fail(ErrorKind::kConnectFailed, "given up before the request was sent");
  }
  if (Race::connected(race.direct)) {
    race.relayedCanceller.cancel();
    return *race.direct;
  }
  if (Race::connected(race.relayed)) {
    const bool refused = race.direct && race.direct->error().reason == http::kConnectionRefused;
    if (refused) {
      loseDirectPath(server, race.direct->error().detail);
    } else {
      startCheck(server, monotonicNow(), Witness::kOtherNodeReachedServer);
    }
    return *race.relayed;
  }
  race.directCanceller.cancel();
  race.relayedCanceller.cancel();
  Error error = race.direct ? race.direct->error()
                            : fail(ErrorKind::kConnectFailed,
                                   "cannot connect to " + server.toString() + " in time");
  // A refusal that only this node has met may come from a cut on its own path.
  const bool confirmed = race.relayed && race.relayed->error().reason == http::kConnectionRefused;
  error.reason = confirmed ? http::kConnectionRefused : std::string_view();
  return error;
}

awaitable<Result<http::ClientConnection>> ServerPaths::connectRelayed(Endpoint server,
                                                                      PathOptions options) {
  const MonotonicTime now = monotonicNow();
  if (options.use == http::ConnectionUse::kPooled) {
    const auto usable = [this, now](const http::ConnectionPath& path) {
      return !path.direct() && peers_->isUsable(*path.proxy, now);
    };
    if (auto idle =
            context_.client.takeIdle(server, usable, MonotonicTime::min(), options.request)) {
      co_return std::move(*idle);
    }
  }
  http::ConnectOptions connecting = directOptions(options);
  connecting.use = http::ConnectionUse::kFresh;
  connecting.timeout = settings_.tunnelTimeout + roundTrips(kConnectRoundTrips, options.rttMs);
  Result<http::ClientConnection> last =
      fail(ErrorKind::kConnectFailed, "no other node opens a tunnel to " + server.toString());
  std::size_t witnesses = 0;
  for (const Endpoint& peer : peers_->choose(kMaxPeerTries, now, random_)) {
    last = co_await context_.client.connect(http::ConnectionPath(server, peer), connecting);
    if (options.canceller != nullptr && options.canceller->cancelled()) {
      co_return last;
    }
    recordPeerTry(peer, last);
    if (last) {
      startWatching(peer);
      co_return last;
    }
    const std::string_view reason = last.error().reason;
    witnesses += reason == http::kUnreachableFromProxy ? 1 : 0;
    if (reason == http::kConnectionRefused || witnesses == kUnreachableWitnesses) {
      break;
    }
  }
  co_return last;
}

void ServerPaths::recordPeerTry(const Endpoint& peer, const Result<http::ClientConnection>& tried) {
  const MonotonicTime now = monotonicNow();
  const std::string_view outcome = tried ? "opened" : tried.error().reason;
  context_.metrics.countPeerTry(outcome);
  if (outcome == http::kProxyFailed) {
    peers_->recordFailed(peer, now);
    peersStale_ = true;
  } else if (outcome == http::kProxyDeclined) {
    peers_->recordDeclined(peer, now);
  } else {
    peers_->recordWorking(peer);
  }
}

awaitable<Result<std::unique_ptr<http::ResponseStream>>> ServerPaths::open(
    Endpoint server, http::Request request, PathOptions path, http::ExchangeOptions options) {
  Result<http::ClientConnection> connection = co_await connect(std::move(server), path);
  if (!connection) {
    co_return connection.error();
  }
  co_return co_await context_.client.send(std::move(connection.value()), std::move(request),
                                          options);
}

std::shared_ptr<CallInFlight> ServerPaths::beginCall(const http::ConnectionPath& path,
                                                     MovePermission mayMove,
                                                     http::ExchangeCanceller* canceller) {
  context_.metrics.countCall(path.direct());
  const MonotonicTime now = monotonicNow();
  auto call = calls_.begin(path, std::move(mayMove), canceller, now);
  if (path.direct()) {
    recentServers_.recordUse(path.endpoint, now);
    return call;
  }
  peers_->addCall(*path.proxy);
  // Counts the call until its last owner drops it.
  return {call.get(),
          [peers = peers_, call](CallInFlight* ended) { peers->removeCall(*ended->path.proxy); }};
}

Error ServerPaths::explainFailure(const CallInFlight& call, Error error) {
  const bool brokeOff =
      error.kind == ErrorKind::kOutcomeUnknown || error.kind == ErrorKind::kStreamBroken;
  const bool lost = call.path.direct() && table_.isLost(call.path.endpoint);
  if (!call.endedFor.empty()) {
    error.reason = call.endedFor;
  } else if (lost && (brokeOff || error.kind == ErrorKind::kDeadlineExceeded)) {
    error.reason = kPathLost;
  } else if (brokeOff && call.path.direct() && !peers_->empty()) {
    startCheck(call.path.endpoint, monotonicNow());
  }
  return error;
}

void ServerPaths::loseDirectPath(const Endpoint& server, std::string_view cause) {
  const MonotonicTime now = monotonicNow();
  if (!context_.isListed(server) || !table_.recordLost(server, now)) {
    return;
  }
  context_.metrics.countLost();
  context_.metrics.setLost(table_.lostCount());
  log::write(log::Level::kWarning, "direct_path_lost",
             {{"server", server.toString()},
              {"cause", std::string(cause)},
              {"lost", std::to_string(table_.lostCount())},
              {"peers", std::to_string(peers_->size())}});
  context_.client.closeIdleDirect(server);
  context_.onLost(server);
  beginSweep(now);
}

void ServerPaths::regainDirectPath(const Endpoint& server) {
  if (!table_.recordWorking(server, monotonicNow())) {
    return;
  }
  context_.metrics.countRegained();
  context_.metrics.setLost(table_.lostCount());
  log::write(log::Level::kInfo, "direct_path_regained",
             {{"server", server.toString()}, {"lost", std::to_string(table_.lostCount())}});
}

}  // namespace calicodrift::server_paths
