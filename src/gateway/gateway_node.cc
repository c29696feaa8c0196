#include "gateway/gateway_node.h"

#include <boost/asio.hpp>
#include <cmath>
#include <set>

#include "common/hashing.h"
#include "gateway/module_settings.h"
#include "http/status.h"
#include "log/log.h"
#include "metrics/process.h"

namespace calicodrift::gateway {
namespace {

namespace asio = boost::asio;
using asio::awaitable;
constexpr std::string_view kLeaseKind = "calicodrift-leases";
constexpr std::string_view kWeightsLease = "weights";
constexpr std::string_view kQuarantineKind = "calicodrift-quarantine";
constexpr std::string_view kStreamVersionsKind = "calicodrift-stream-versions";
/// How long the store may be silent when the list of servers is read for a stream that goes on.
constexpr Milliseconds kProofSilence{200};
/// Of the metrics server, for operators.
constexpr std::string_view kQuarantinePath = "/quarantine";
constexpr std::string_view kServerLimitsPath = "/server-limits";

/// Another one for each start: a restarted node has forgotten its renewals and must not go on under
/// an old token.
std::string processName(const GatewaySettings& settings) {
  const auto started = std::chrono::duration_cast<Microseconds>(wallNow().time_since_epoch());
  return settings.nodeId + "#" + std::to_string(started.count());
}

std::map<TenantId, quota::TenantLimit> limitsOf(const routes::RouteTable& table) {
  std::map<TenantId, quota::TenantLimit> limits;
  for (const routes::Tenant& tenant : table.tenants()) {
    if (tenant.limit) {
      limits[tenant.id] = {tenant.limit->unitsPerSecond, tenant.limit->burst};
    }
  }
  return limits;
}

fleet::DistanceListener distanceLog() {
  fleet::DistanceListener listener;
  listener.unknownZone = [](const ZoneId& zone) {
    log::write(log::Level::kWarning, "zone_without_region",
               {{"zone", zone.value()}, {"served_as", "the farthest"}});
  };
  listener.rttChanged = [](const ZoneId& zone, double milliseconds) {
    log::write(log::Level::kInfo, "way_learnt",
               {{"zone", zone.value()}, {"ms", std::to_string(std::lround(milliseconds))}});
  };
  return listener;
}

http::ServerLimits peerLimits() {
  constexpr std::size_t kMaxReportBytes = 1'048'576;
  http::ServerLimits limits;
  limits.maxBodyBytes = kMaxReportBytes;
  return limits;
}

}  // namespace

GatewayNode::GatewayNode(asio::io_context& context, http::Client& client, GatewayPorts ports,
                         GatewaySettings settings)
    : context_(context),
      client_(client),
      ports_(ports),
      settings_(std::move(settings)),
      processName_(processName(settings_)),
      metrics_(registry_),
      orderMetrics_(registry_),
      gatewayMetrics_(registry_),
      unreadable_(gatewayMetrics_),
      lossLog_(context.get_executor()),
      distances_(distanceSettings(settings_), distanceLog()),
      pool_(static_cast<double>(settings_.prefillTokensPerMs),
            [this](const fleet::Server& server, fleet::ServerLoss loss) {
              onServerLost(server, loss);
            }),
      pathMetrics_(registry_),
      serverPaths_(pathsContext(), pathSettings(settings_),
                   hashPair(hashBytes(processName_), hashBytes(server_paths::kTunnelStatusPath))),
      tunnels_(tunnelContext(), tunnelSettings(settings_)),
      cacheStores_(
          context.get_executor(), serverPaths_, ports_.servers, [this] { return views_.table(); },
          [this] { return relay_.readsStore(); },
          [this](const Endpoint& store) { forwarder_.onCacheStoreLost(store); }),
      relay_(context.get_executor(), ports_.store, client_,
             relaySettings(settings_, ports_.schema)),
      exchange_(exchangeContext(), exchangeSettings(settings_)),
      remoteGroupRoots_(ports_.store, otherGroups(settings_)),
      quotaMetrics_(registry_),
      quota_(quotaContext(), quotaBounds(settings_), quotaMetrics_, hashBytes(processName_)),
      serverLimitMetrics_(registry_),
      serverLimits_(serverLimitContext(), serverLimitMetrics_),
      serverCalls_({client_, ports_.servers, pool_, serverLimits_, metrics_, serverPaths_},
                   hashPair(hashBytes(processName_), hashBytes(kServerLimitsPath))),
      quarantineMetrics_(registry_),
      quarantine_(
          quarantineContext(), ports_.store, std::string(kQuarantineKind), quarantineMetrics_,
          [this](const store::Object& object, const Error& error) {
            unreadable_.note(std::string(kQuarantineKind), object, error);
          },
          hashPair(hashBytes(processName_), hashBytes(kQuarantineKind))),
      targets_({settings_.weightsTerm, settings_.weightsWait}, monotonicNow()),
      views_(context.get_executor(), relay_.store(), ports_.schema, settings_, pool_, targets_,
             unreadable_,
             {[this](const routes::RouteTable& table) { onTable(table); },
              [this](const ModelId& model, WeightsVersion least) {
                forwarder_.recallWaiting(model, least);
              },
              [this] {
                serviceRollouts_.onServersChanged();
                streamVersions_.onServersChanged();
              },
              [this](const fleet::Server& server) {
                streamVersions_.onServerEntry(server.service, server.version);
              },
              [this] { streamVersions_.onServersMissed(); },
              [this] { streamVersions_.onServersProven(); }}),
      weightsFloor_(
          {context.get_executor(), ports_.store, ports_.schema, targets_,
           [this]() -> const std::map<ModelId, StoredWeights>& { return views_.storedWeights(); },
           [this] { return !draining_ && relay_.readsStore(); }},
          hashBytes(processName_)),
      leaseStore_(ports_.store, std::string(kLeaseKind),
                  [this](const store::Object& object, const Error& error) {
                    unreadable_.note(std::string(kLeaseKind), object, error);
                  }),
      rolloutMetrics_(registry_),
      serviceRollouts_(rolloutsContext(), settings_, leaseSettings(settings_, processName_),
                       rolloutMetrics_, hashBytes(processName_)),
      streamVersionMetrics_(registry_),
      streamVersions_(streamVersionContext(), streamVersionSettings(settings_)),
      gate_(gateSettings(settings_)),
      forwarder_({context.get_executor(), serverCalls_, pool_, ports_.callers, ports_.servers,
                  metrics_, [this] { return views_.configuration(); },
                  [this](const ModelId& model, WeightsVersion version) {
                    return views_.weights(model, version);
                  },
                  [this](std::uint64_t key) { return cacheStores_.storeFor(key); }, quota_,
                  quarantine_, serverLimits_, streamVersions_,
                  [this] { views_.removeExpiredWeights(); }, serviceRollouts_.hooks()},
                 forwardSettings(settings_), gateSettings(settings_), hashBytes(settings_.nodeId)),
      lease_(context.get_executor(), leaseStore_, std::string(kWeightsLease),
             leaseSettings(settings_, processName_),
             [this] {
               return !draining_ && relay_.readsStore() && weightsLoader_.hasOutdatedServers();
             }),
      weightsLoader_(context.get_executor(), serverCalls_, ports_.servers, pool_, targets_, lease_,
                     orderMetrics_, weightsLoaderSettings(settings_, processName_)),
      prober_(context.get_executor(), serverCalls_, ports_.servers, pool_,
              [this] { return views_.table(); }),
      front_(context.get_executor(), frontLimits(settings_, routes::CallerLimits{}),
             [this](http::Request& request, http::ResponseWriter& writer) {
               return forwarder_.handle(request, writer);
             }),
      readyServer_(context.get_executor(), http::ServerLimits{},
                   [this](http::Request& request, http::ResponseWriter& writer) {
                     return answerReady(request, writer);
                   }),
      metricsServer_(context.get_executor(), http::ServerLimits{},
                     [this](http::Request& request, http::ResponseWriter& writer) {
                       return answerMetrics(request, writer);
                     }),
      peerServer_(context.get_executor(), peerLimits(),
                  [this](http::Request& request, http::ResponseWriter& writer) {
                    return handlePeer(request, writer);
                  }) {
  pool_.setDistances(distances_);
  prober_.onAsk([this](fleet::Server server) { return mayProbe(std::move(server)); });
  prober_.onAsked(
      [this](const fleet::Server& server, bool answered) { onProbed(server, answered); });
  for (const std::string_view path : {relay::kViewPath, relay::kPatchedViewPath,
                                      relay::kSnapshotPath, relay::kJoinPath, relay::kRootsPath}) {
    peerPaths_.add(std::string(path), [this](http::Request& request, http::ResponseWriter& writer) {
      return relay_.handle(request, writer);
    });
  }
  peerPaths_.add(std::string(quota::kClaimPath),
                 [this](http::Request& request, http::ResponseWriter& writer) {
                   return quota_.handle(request, writer);
                 });
  for (const std::string_view path : {quarantine::kReportPath, quarantine::kTrialPath}) {
    peerPaths_.add(std::string(path), [this](http::Request& request, http::ResponseWriter& writer) {
      return quarantine_.handle(request, writer);
    });
  }
  for (const std::string_view path : {server_limits::kReportPath, server_limits::kUnitPath}) {
    peerPaths_.add(std::string(path), [this](http::Request& request, http::ResponseWriter& writer) {
      return serverLimits_.handle(request, writer);
    });
  }
  peerPaths_.add(std::string(server_paths::kTunnelStatusPath),
                 [this](http::Request& request, http::ResponseWriter& writer) {
                   return tunnels_.answerStatus(request, writer);
                 });
  peerPaths_.add(std::string(server_paths::kTunnelEndPath),
                 [this](http::Request& request, http::ResponseWriter& writer) {
                   return tunnels_.answerEnd(request, writer);
                 });
  peerPaths_.add(std::string(stream_versions::kKeepersPath),
                 [this](http::Request& request, http::ResponseWriter& writer) {
                   return streamVersions_.handle(request, writer);
                 });
  peerPaths_.add(std::string(exchange::kExchangePath),
                 [this](http::Request& request, http::ResponseWriter& writer) {
                   return exchange_.handle(request, writer);
                 });
}

exchange::NodeExchangeContext GatewayNode::exchangeContext() {
  return {
      context_.get_executor(),
      client_,
      [this] { return relay_.relay(); },
      [this] { return relay_.isRelay(); },
      [this] { return relay_.otherRelays(); },
      [this] { return pool_.ownLoads(); },
      [this](const fleet::ServerLoads& loads) {
        if (settings_.mechanisms.loadExchange) {
          pool_.setPeerLoads(loads, monotonicNow());
        }
      },
      [this] { return forwarder_.cacheMoves().takeSaves(); },
      [this](const std::vector<fleet::SavedPart>& saves) {
        forwarder_.cacheMoves().applyPeerSaves(saves, monotonicNow());
      },
      [this] { return targets_.exportNamings(monotonicNow()); },
      [this](const std::vector<fleet::NamedWeights>& named) {
        if (targets_.merge(named, monotonicNow())) {
          views_.onNamingsLearnt();
        }
      },
      [this] { return cacheStores_.reports(); },
      [this](const std::vector<fleet::CacheStoreReport>& reports) { cacheStores_.learn(reports); },
      [this] { return serviceRollouts_.own(); },
      [this](const service_rollout::ObservationTable& others) {
        serviceRollouts_.onOthers(others);
      }};
}

ServiceRolloutsContext GatewayNode::rolloutsContext() {
  return {context_.get_executor(),
          relay_.store(),
          ports_.store,
          ports_.schema,
          pool_,
          leaseStore_,
          unreadable_,
          [this] { return !draining_ && relay_.readsStore(); }};
}

quota::QuotaNodeContext GatewayNode::quotaContext() {
  quota::QuotaNodeContext context{context_.get_executor(), client_, [this] { return quotaRole(); },
                                  [this] { return relay_.relay(); },
                                  [this] { return relay_.roots(); }};
  if (groupsOf(settings_) > 1) {
    context.lenders = [this] { return remoteGroupRoots_.read(); };
    context.viewAge = [this] {
      return std::chrono::ceil<Milliseconds>(monotonicNow() - relay_.store().provenAt());
    };
    context.maxLendingViewAge = settings_.relayProofAge;
  }
  return context;
}

relay::TreePosition GatewayNode::treePosition() {
  return {settings_.relayListen,
          [this] { return relay_.relay(); },
          [this] { return relay_.children(); },
          [this] { return relay_.roots(); },
          [this] { return relay_.isRelay(); },
          [this] { return relay_.isWholeTree(); }};
}

quarantine::QuarantineContext GatewayNode::quarantineContext() {
  quarantine::QuarantineContext context{context_.get_executor(), client_, treePosition(),
                                        [this] { return relay_.readsStore(); }};
  context.onServerStart = [this](const BackendId& server, Incarnation started) {
    if (const fleet::Server* known = pool_.find(server)) {
      // Copied, as the pool replaces the run that holds them.
      std::vector<fleet::LoadedModel> models = known->models;
      pool_.applyRestart(server, started, std::move(models), monotonicNow());
    }
  };
  if (groupsOf(settings_) > 1) {
    context.otherTrees = [this] { return remoteGroupRoots_.read(); };
  }
  return context;
}

server_limits::ServerLimitContext GatewayNode::serverLimitContext() {
  server_limits::ServerLimitContext context{
      context_.get_executor(),
      client_,
      treePosition(),
      [this] { return relay_.newestRoots(); },
      [this] { return relay_.mayGrant(); },
      [this] { return relay_.settledAt(); },
      pool_,
      [this] { return views_.serversProvenAt(); },
      [this](fleet::Server server) { return askForNotices(std::move(server)); },
      otherGroups(settings_),
      settings_.relayGroup.empty() ? settings_.zone : settings_.relayGroup};
  context.trees.push_back(context.ownTree);
  context.rootsOfTree = [this](std::string tree) {
    return remoteGroupRoots_.readGroup(std::move(tree));
  };
  return context;
}

server_paths::ServerPathsContext GatewayNode::pathsContext() {
  return {context_.get_executor(),
          client_,
          pathMetrics_,
          [this] { return neighbours(); },
          [this](const Endpoint& endpoint) { return isListed(endpoint); },
          [this](const Endpoint& endpoint) {
            const fleet::Server* server = pool_.findAt(endpoint);
            return server == nullptr ? std::nullopt
                                     : std::optional(ports_.servers.reportQuery(*server));
          },
          [this](const Endpoint& endpoint) {
            if (const fleet::Server* server = pool_.findAt(endpoint)) {
              pool_.withdrawFailures(server->id, monotonicNow());
            }
          },
          [this](const Endpoint& endpoint) { onServerSilent(endpoint); }};
}

server_paths::TunnelContext GatewayNode::tunnelContext() {
  return {client_, pathMetrics_, [this](const Endpoint& endpoint) { return isListed(endpoint); },
          [this](const Endpoint& endpoint) { return serverPaths_.isLost(endpoint); },
          [this] { return neighbours(); }};
}

stream_versions::StreamVersionContext GatewayNode::streamVersionContext() {
  return {context_,
          client_,
          streamVersionMetrics_,
          treePosition(),
          [this] { return versionListing(); },
          [this] { return views_.serversProvenAt(); },
          [this] {
            return relay_.store().refresh(ports_.schema.serverKind(), kProofSilence,
                                          relay::RelayedStore::Listings::kShort);
          },
          ports_.store,
          std::string(kStreamVersionsKind)};
}

stream_versions::VersionListing GatewayNode::versionListing() const {
  const auto now = std::chrono::duration_cast<Milliseconds>(wallNow().time_since_epoch());
  stream_versions::VersionListing listing;
  for (const auto& [service, versions] : pool_.counts().versions()) {
    for (const auto& [version, servers] : versions) {
      stream_versions::ListedVersion listed{version, std::nullopt};
      if (servers.earliestStart) {
        listed.running = now - Milliseconds(servers.earliestStart->value());
      }
      listing[service].push_back(std::move(listed));
    }
  }
  return listing;
}

bool GatewayNode::isListed(const Endpoint& endpoint) const {
  return pool_.findAt(endpoint) != nullptr || cacheStores_.configured(endpoint);
}

std::vector<Endpoint> GatewayNode::neighbours() const {
  std::vector<Endpoint> known = relay_.children();
  const std::vector<Endpoint> roots = relay_.roots();
  known.insert(known.end(), roots.begin(), roots.end());
  if (const std::optional<Endpoint> parent = relay_.relay()) {
    known.push_back(*parent);
  }
  return known;
}

void GatewayNode::onServerSilent(const Endpoint& endpoint) {
  constexpr Milliseconds kSilentPause{1000};
  const MonotonicTime now = monotonicNow();
  if (const fleet::Server* server = pool_.findAt(endpoint)) {
    log::write(log::Level::kInfo, "server_silent", {{"server", server->id.value()}});
    pool_.pause(server->id, now + kSilentPause, now);
  }
}

awaitable<void> GatewayNode::handlePeer(http::Request& request, http::ResponseWriter& writer) {
  return request.method == "CONNECT" ? tunnels_.handleConnect(request, writer)
                                     : peerPaths_.handle(request, writer);
}

awaitable<void> GatewayNode::askForNotices(fleet::Server server) {
  // Its notices are taken on the way, also where the answer is of no other use.
  static_cast<void>(co_await prober_.ask(std::move(server)));
}

awaitable<bool> GatewayNode::mayProbe(fleet::Server server) {
  if (!serverCalls_.mayBegin(server, forward::CallPurpose::kQuery)) {
    co_return false;
  }
  const server_limits::UnitResult unit = co_await serverLimits_.take(server);
  if (!unit.granted) {
    co_return false;
  }
  // A probe takes a slot as well.
  const server_limits::PermitResult permit = co_await serverLimits_.acquirePermit(server);
  if (permit.number) {
    probePermits_[server.id] = *permit.number;
  } else if (!permit.granted && unit.usedLimitUnit) {
    serverLimits_.giveBack(server);
  }
  co_return permit.granted;
}

void GatewayNode::onProbed(const fleet::Server& server, bool answered) {
  const auto permit = probePermits_.find(server.id);
  if (permit == probePermits_.end()) {
    return;
  }
  using server_limits::PermitEnd;
  serverLimits_.endPermit(server, permit->second,
                          answered ? PermitEnd::kEnded : PermitEnd::kReturned);
  probePermits_.erase(permit);
}

quota::QuotaRoleShare GatewayNode::quotaRole() {
  const double ofGroup = 1 / static_cast<double>(groupsOf(settings_));
  if (relay_.isWholeTree()) {
    return {quota::QuotaRole::kRoot, ofGroup};
  }
  // Proving the role takes calls to the store, so it is done only if there are limits to enforce.
  if (relay_.isRelay() && quota_.hasLimits() && !relay_.mayGrant()) {
    // Its former run, or the node that it replaced, may still grant this share.
    return {quota::QuotaRole::kFollower, 0};
  }
  if (relay_.isRelay()) {
    // While one of the two is being replaced, its share is not issued, because the replaced root
    // may still be running unnoticed.
    const std::size_t roots = std::max<std::size_t>(2, relay_.roots().size() + 1);
    return {quota::QuotaRole::kRoot, ofGroup / static_cast<double>(roots)};
  }
  return {relay_.relay() ? quota::QuotaRole::kFollower : quota::QuotaRole::kDisconnected, 0};
}

Result<void> GatewayNode::start() {
  BOOST_OUTCOME_TRY(endpoint_, front_.listen(settings_.listen));
  BOOST_OUTCOME_TRY(readyServer_.listen(settings_.readyListen));
  if (settings_.metricsListen.port != 0) {
    BOOST_OUTCOME_TRY(metricsServer_.listen(settings_.metricsListen));
  }
  if (settings_.relayListen.port != 0) {
    BOOST_OUTCOME_TRY(peerServer_.listen(settings_.relayListen));
  }
  BOOST_OUTCOME_TRY(streamVersions_.start());
  relay_.onUnreadableList([this](const store::Object& object, const Error& error) {
    unreadable_.note(std::string(relay::kListKind), object, error);
  });
  relay_.onSourceChanged([this] {
    views_.retryNow();
    serviceRollouts_.retryNow();
  });
  ports_.store.onNewEra([this] {
    views_.retryNow();
    serviceRollouts_.retryNow();
  });
  relay_.start();
  serverPaths_.start();
  exchange_.start();
  quota_.start();
  quarantine_.start();
  serverLimits_.start();
  views_.start();
  weightsFloor_.start();
  serviceRollouts_.start();
  lease_.start();
  weightsLoader_.start();
  prober_.start();
  cacheStores_.start();
  log::write(log::Level::kInfo, "started",
             {{"listen", settings_.listen.toString()}, {"store", settings_.store.toString()}});
  return boost::outcome_v2::success();
}

void GatewayNode::onTable(const routes::RouteTable& table) {
  front_.setLimits(frontLimits(settings_, table.limits()));
  for (const routes::Service& service : table.services()) {
    if (service.engine) {
      pool_.setMemoryTokens(service.name, service.engine->cacheTokens, monotonicNow());
      if (settings_.mechanisms.pauseBounds) {
        pool_.setPauseBound(service.name, table.maxStreamPauseOf(service.name), monotonicNow());
      }
    }
  }
  if (settings_.mechanisms.tenantLimits) {
    quota_.applyLimits(limitsOf(table));
  }
  metrics_.setConfigVersion(static_cast<double>(table.version().value()));
}

void GatewayNode::onServerLost(const fleet::Server& server, fleet::ServerLoss loss) {
  // An entry that can't be read or placed proves nothing: beliefs on the server's cache hold on.
  const bool keepsCache = loss == fleet::ServerLoss::kEjected ||
                          loss == fleet::ServerLoss::kWithheld ||
                          loss == fleet::ServerLoss::kUnplaced;
  if (!keepsCache) {
    forwarder_.onServerLost(server.id, loss);
  }
  if (loss == fleet::ServerLoss::kUnreachable) {
    quarantine_.recordServerGone(server);
  }
  if (loss == fleet::ServerLoss::kRestarted) {
    client_.dropConnections(server.endpoint);
    weightsLoader_.onRestarted(server.id);
  }
  if (loss == fleet::ServerLoss::kReloaded) {
    weightsLoader_.wake();
  }
  metrics_.countServerLoss(toString(loss));
  lossLog_.note(server, loss);
}

bool GatewayNode::ready() const {
  return !draining_ && views_.synchronized() && quarantine_.synchronized() &&
         serverLimits_.synchronized() && gate_.servesKeys(views_.configuration(), monotonicNow());
}

awaitable<void> GatewayNode::answerReady(http::Request& /*request*/, http::ResponseWriter& writer) {
  const bool ok = ready();
  co_await http::respond(writer, http::textResponse(ok ? http::kStatusOk : http::kStatusUnavailable,
                                                    ok ? "ready\n" : "not ready\n"));
}

awaitable<void> GatewayNode::answerMetrics(http::Request& request, http::ResponseWriter& writer) {
  if (request.path() == kQuarantinePath) {
    co_await quarantine_.answerOperator(request, writer);
    co_return;
  }
  if (request.path() == kServerLimitsPath) {
    co_await serverLimits_.answerOperator(writer);
    co_return;
  }
  quarantine_.showMetrics();
  serverLimits_.showMetrics();
  streamVersions_.showMetrics();
  pathMetrics_.setOpenTunnels(tunnels_.open());
  metrics_.setServers(static_cast<double>(pool_.size()));
  metrics_.setRefusedConnections(static_cast<double>(front_.refusedConnections()));
  metrics_.setFailedHandlers(static_cast<double>(front_.failedHandlers()));
  serviceRollouts_.showMetrics();
  co_await http::respond(writer,
                         http::textResponse(http::kStatusOk, metrics::renderText(registry_)));
}

void GatewayNode::drain() {
  if (draining_) {
    return;
  }
  draining_ = true;
  tunnels_.drain();
  front_.closeAfterAnswers();
  log::write(log::Level::kInfo, "draining",
             {{"active_requests", std::to_string(front_.activeRequests())}});
  asio::co_spawn(context_, lease_.release(), asio::detached);
  asio::co_spawn(context_, serviceRollouts_.release(), asio::detached);
  asio::co_spawn(context_, relay_.stop(), asio::detached);
  asio::co_spawn(context_, finishDrain(), asio::detached);
}

awaitable<void> GatewayNode::finishDrain() {
  constexpr Milliseconds kCheckInterval{20};
  constexpr Milliseconds kQuiet{100};
  /// Before the end, for answers to requests that can't be served in time.
  constexpr Milliseconds kLastAnswers{200};
  const MonotonicTime begin = monotonicNow();
  const MonotonicTime end = begin + settings_.drainTimeout;
  asio::steady_timer timer(context_);
  // Callers that have not yet learnt of the stop are served meanwhile.
  timer.expires_at(std::min(begin + settings_.drainAccept, end));
  co_await timer.async_wait(asio::use_awaitable);
  front_.closeIdle();
  front_.stopAccepting();
  MonotonicTime busyAt = monotonicNow();
  std::size_t endedRequests = 0;
  while (monotonicNow() < end && monotonicNow() - busyAt < kQuiet) {
    timer.expires_after(kCheckInterval);
    co_await timer.async_wait(asio::use_awaitable);
    if (front_.busyConnections() > 0 || tunnels_.open() > 0) {
      busyAt = monotonicNow();
    }
    if (monotonicNow() >= end - kLastAnswers) {
      endedRequests += forwarder_.answerBeforeStop();
    }
  }
  log::write(log::Level::kInfo, "stopped",
             {{"ended_requests", std::to_string(endedRequests)},
              {"cut_requests", std::to_string(front_.busyConnections())},
              {"cut_tunnels", std::to_string(tunnels_.open())}});
  context_.stop();
}

}  // namespace calicodrift::gateway
