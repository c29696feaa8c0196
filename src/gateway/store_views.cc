#include "gateway/store_views.h"

#include <algorithm>
#include <boost/asio.hpp>

#include "common/hashing.h"
#include "log/log.h"

namespace calicodrift::gateway {

namespace asio = boost::asio;
using asio::awaitable;

namespace {

/// What the margin of the weights' term leaves for a queue.
constexpr Milliseconds kQueueInMargin{1000};
/// Older weights run out sooner by this at most where queues are longer, so that long queues do not
/// take all servers away.
constexpr Milliseconds kMostAllowance{2000};
/// A naming that was heard so long after it was made is taken for one that was heard at once: what
/// is left of the half second between the end of the wait term and the bound takes the recall.
constexpr Milliseconds kHearing{400};
/// Servers of a listing that are applied without a break; a few milliseconds on a slow machine.
constexpr std::size_t kServersPerStep = 32;
/// Between two looks at how long the queues are, which move the end of terms.
constexpr Milliseconds kLookInterval{250};

/// Tells in the log when the store is lost or regained for a kind.
std::function<void(bool, const std::string&)> reachableLogger(const std::string& kind) {
  return [kind](bool reachable, const std::string& cause) {
    log::write(reachable ? log::Level::kInfo : log::Level::kWarning,
               reachable ? "store_regained" : "store_lost", {{"kind", kind}, {"cause", cause}});
  };
}

}  // namespace

StoreViews::StoreViews(asio::any_io_executor executor, store::ObjectStore& store,
                       const StoreSchema& schema, const GatewaySettings& settings,
                       fleet::ServerPool& pool, weights::WeightsTargets& targets,
                       UnreadableObjects& unreadable, ViewListeners listeners)
    : executor_(std::move(executor)),
      store_(store),
      schema_(schema),
      settings_(settings),
      pool_(pool),
      targets_(targets),
      unreadable_(unreadable),
      servers_(schema, pool, unreadable),
      listeners_(std::move(listeners)),
      configWatcher_(executor_, store, configWatcherSettings(), configListener()),
      serverWatcher_(executor_, store, serverWatcherSettings(), serverListener()),
      weightsWatcher_(executor_, store,
                      watcherSettings(schema.weightsKind(), settings.weightsWatch),
                      weightsListener()),
      termTimer_(executor_) {}

void StoreViews::start() {
  configWatcher_.start();
  serverWatcher_.start();
  weightsWatcher_.start();
  asio::co_spawn(executor_, keepLeastWeights(), asio::detached);
}

void StoreViews::retryNow() {
  configWatcher_.retryNow();
  serverWatcher_.retryNow();
  weightsWatcher_.retryNow();
}

store::KindListener StoreViews::configListener() {
  store::KindListener listener;
  listener.onListing = [this](const store::Listing& listing) {
    for (const store::Object& object : listing.objects) {
      applyConfiguration(object);
    }
  };
  listener.onChanges = [this](const store::ChangeBatch& batch) {
    for (const store::Change& change : batch.changes) {
      if (!change.removed) {
        applyConfiguration(change.object);
      }
    }
  };
  listener.onReachable = reachableLogger(schema_.configurationKind());
  return listener;
}

store::KindListener StoreViews::serverListener() {
  store::KindListener listener;
  listener.onLongListing = [this](const store::Listing& listing) { return applyServers(listing); };
  listener.onChanges = [this](const store::ChangeBatch& batch) {
    for (const store::Change& change : batch.changes) {
      servers_.applyChange(change, monotonicNow());
      if (const fleet::Server* server = pool_.find(BackendId(change.object.name))) {
        listeners_.onServerEntry(*server);
      }
    }
    if (!batch.complete) {
      listeners_.onServersMissed();
    }
    listeners_.onServers();
  };
  listener.onProven = [this] { listeners_.onServersProven(); };
  listener.onReachable = reachableLogger(schema_.serverKind());
  return listener;
}

store::KindListener StoreViews::weightsListener() {
  store::KindListener listener;
  listener.onListing = [this](const store::Listing& listing) {
    for (const store::Object& object : listing.objects) {
      applyWeights(object, WeightsSource::kListing);
    }
  };
  listener.onChanges = [this](const store::ChangeBatch& batch) {
    for (const store::Change& change : batch.changes) {
      if (change.removed) {
        forgetStored(change.object.name);
      } else {
        applyWeights(change.object, WeightsSource::kChange);
      }
    }
  };
  listener.onReachable = reachableLogger(schema_.weightsKind());
  return listener;
}

store::KindWatcherSettings StoreViews::watcherSettings(std::string kind, Milliseconds wait) const {
  store::KindWatcherSettings watcher;
  watcher.seed = hashBytes(settings_.nodeId + kind);
  watcher.kind = std::move(kind);
  watcher.wait = wait;
  watcher.proofAge = settings_.configProofAge;
  return watcher;
}

store::KindWatcherSettings StoreViews::configWatcherSettings() const {
  store::KindWatcherSettings watcher =
      watcherSettings(schema_.configurationKind(), settings_.configWatch);
  watcher.changePause = settings_.configChangePause;
  return watcher;
}

store::KindWatcherSettings StoreViews::serverWatcherSettings() const {
  store::KindWatcherSettings watcher = watcherSettings(schema_.serverKind(), settings_.serverWatch);
  watcher.changePause = settings_.serverChangePause;
  watcher.takesSpecTexts = true;
  return watcher;
}

awaitable<void> StoreViews::applyServers(const store::Listing& listing) {
  servers_.beginListing(listing, monotonicNow());
  std::size_t applied = 0;
  for (const store::Object& object : listing.objects) {
    servers_.applyListed(object, monotonicNow());
    if (++applied % kServersPerStep == 0) {
      co_await asio::post(executor_, asio::use_awaitable);
    }
  }
  servers_.endListing(listing.revision, monotonicNow());
  if (serverWatcher_.synchronized()) {
    listeners_.onServersMissed();
  }
  listeners_.onServers();
}

void StoreViews::applyConfiguration(const store::Object& object) {
  if (!schema_.isConfiguration(object)) {
    return;
  }
  if (!object.specText) {
    adoptTable(object, buildTable(object));
    return;
  }
  if (object.revision == loadedRevision_) {
    return;
  }
  if (!loadingSince_) {
    loadingSince_ = configWatcher_.previousProvenAt();
    asio::co_spawn(executor_, loadConfigurations(object), asio::detached);
  } else if (waitingLoad_) {
    // Of several that come while one is read, the newest alone is read next.
    waitingLoad_->object = object;
  } else {
    waitingLoad_ = WaitingLoad{object, configWatcher_.previousProvenAt()};
  }
}

awaitable<void> StoreViews::loadConfigurations(store::Object object) {
  for (;;) {
    const auto build = [this, &object] { return buildTable(object); };
    const BuiltTable built = co_await worker_.run(build);
    std::shared_ptr<const routes::RouteTable> before = table_;
    adoptTable(object, built);
    loadedRevision_ = object.revision;
    // Releasing thousands of routes takes long, too.
    const auto release = [&before] {
      before.reset();
      return true;
    };
    static_cast<void>(co_await worker_.run(release));
    if (!waitingLoad_) {
      loadingSince_.reset();
      co_return;
    }
    object = std::move(waitingLoad_->object);
    loadingSince_ = waitingLoad_->provenBefore;
    waitingLoad_.reset();
  }
}

StoreViews::BuiltTable StoreViews::buildTable(const store::Object& object) const {
  BOOST_OUTCOME_TRY(routes::RouteTableContent content, schema_.readConfiguration(object));
  return std::make_shared<const routes::RouteTable>(std::move(content));
}

void StoreViews::adoptTable(const store::Object& object, const BuiltTable& built) {
  if (!built) {
    // What is in force stays as it is, whole.
    unreadable_.note(schema_.configurationKind(), object, built.error());
    return;
  }
  unreadable_.clear(schema_.configurationKind(), object.name);
  // Versions only rise: what was read before stays in force against an older one.
  if (table_ && built.value()->version() <= table_->version()) {
    return;
  }
  table_ = built.value();
  listeners_.onTable(*table_);
  servers_.applyConfiguration(*table_, monotonicNow());
  listeners_.onServers();
  log::write(log::Level::kInfo, "configuration_adopted",
             {{"version", std::to_string(table_->version().value())},
              {"revision", store::toString(object.revision)},
              {"bytes", std::to_string(object.specText ? object.specText->size() : 0)},
              {"routes", std::to_string(table_->routeCount())}});
}

void StoreViews::applyWeights(const store::Object& object, WeightsSource source) {
  Result<NamedVersion> read = schema_.readWeights(object);
  if (!read) {
    unreadable_.note(schema_.weightsKind(), object, read.error());
    readableUntil_.try_emplace(object.name, weightsWatcher_.previousProvenAt());
    return;
  }
  unreadable_.clear(schema_.weightsKind(), object.name);
  const bool wasUnreadable = readableUntil_.contains(object.name);
  const fleet::LoadedModel& named = read.value().named;
  storedWeights_[named.model] = {object.name, object.revision, read.value().floor};
  const auto known = targets_.newest(named.model);
  const bool isNew = !known || *known < named.weights;
  if (isNew) {
    const bool inTime = source == WeightsSource::kChange && !wasUnreadable;
    noteNaming(named, inTime, provenUntil(object.name));
  }
  readableUntil_.erase(object.name);
  const bool raised = targets_.raiseFloor(named.model, read.value().floor, monotonicNow());
  if (isNew || raised) {
    refreshLeastWeights();
  }
}

void StoreViews::forgetStored(const std::string& object) {
  std::erase_if(storedWeights_,
                [&object](const auto& stored) { return stored.second.object == object; });
}

MonotonicTime StoreViews::provenUntil(const std::string& object) const {
  // Nothing was read of it meanwhile, however new the view was.
  const auto until = readableUntil_.find(object);
  return until == readableUntil_.end() ? weightsWatcher_.previousProvenAt() : until->second;
}

void StoreViews::noteNaming(const fleet::LoadedModel& named, bool inTime, MonotonicTime provenAt) {
  const MonotonicTime now = monotonicNow();
  // A change may have been made at any time since the view was proven last. Counted from when it
  // was heard, it would leave older weights in use for as much longer.
  const auto unproven = std::chrono::ceil<Milliseconds>(now - provenAt);
  const bool seen = inTime && unproven <= longestCalmProof();
  if (seen) {
    const Milliseconds late = std::max(Milliseconds(0), unproven - kHearing);
    targets_.addObserved(named.model, named.weights, now, late);
  } else {
    targets_.addDiscovered(named.model, named.weights, provenAt, now);
  }
  log::write(
      log::Level::kInfo, "weights_named",
      {{"model", named.model.value()},
       {"weights", std::to_string(named.weights.value())},
       {"source", std::string(weights::toString(seen ? weights::NamingSource::kObserved
                                                     : weights::NamingSource::kDiscovered))}});
}

Milliseconds StoreViews::longestCalmProof() const {
  // A watch that returns nothing proves the view, so that it is one watch old at most on a calm
  // day, and another one at the end of a long way down the tree.
  constexpr int kWatchesOnACalmDay = 2;
  return kWatchesOnACalmDay * settings_.weightsWatch + kLookInterval;
}

forward::WeightsView StoreViews::weights(const ModelId& model, WeightsVersion version) const {
  forward::WeightsView view;
  view.outdatedSince = targets_.outdatedSince(model, version);
  view.provenAt = weightsWatcher_.provenAt();
  view.newest = targets_.newest(model);
  if (const auto source = targets_.successorSource(model, version)) {
    view.source = weights::toString(*source);
  }
  return view;
}

void StoreViews::removeExpiredWeights() {
  if (nextTermEnd_ && monotonicNow() >= *nextTermEnd_) {
    refreshLeastWeights();
  }
}

void StoreViews::refreshLeastWeights() {
  const MonotonicTime now = monotonicNow();
  // A request begins only when it has come through its server's queue.
  const Milliseconds beyond = pool_.maxQueueWait() - kQueueInMargin;
  const Milliseconds allowance = std::clamp(beyond, Milliseconds(0), kMostAllowance);
  for (const ModelId& model : targets_.models()) {
    pool_.setMinWeights(model, targets_.leastSendable(model, now + allowance), now);
    listeners_.onLeastWaiting(model, targets_.leastWaitable(model, now));
  }
  nextTermEnd_ = targets_.nextExpiry(now);
  // A naming may have made the next expiry earlier.
  termTimer_.cancel();
}

awaitable<void> StoreViews::keepLeastWeights() {
  for (;;) {
    refreshLeastWeights();
    servers_.removeExpired(monotonicNow());
    const MonotonicTime next = monotonicNow() + kLookInterval;
    termTimer_.expires_at(std::min(next, nextTermEnd_.value_or(next)));
    co_await termTimer_.async_wait(asio::as_tuple(asio::use_awaitable));
  }
}

}  // namespace calicodrift::gateway
