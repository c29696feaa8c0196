#include "relay/relay_node.h"

#include <algorithm>
#include <boost/asio.hpp>
#include <utility>

#include "common/hashing.h"
#include "log/log.h"
#include "peer/http_call.h"

namespace calicodrift::relay {

namespace asio = boost::asio;
using asio::awaitable;

namespace {

/// A long listing is left to the nodes above for this part of a kind's read age; what remains of
/// the bound is as long.
constexpr int kLongListingDelayDivisor = 3;

std::string roleName(RelayRole role) {
  switch (role) {
    case RelayRole::kSearching:
      return "searching";
    case RelayRole::kChild:
      return "child";
    case RelayRole::kRoot:
      break;
  }
  return "root";
}

/// Differs for each start, so that nodes which start together do not stay synchronized.
std::uint64_t seedOf(const RelaySettings& settings) {
  const auto started = std::chrono::duration_cast<Microseconds>(wallNow().time_since_epoch());
  return hashPair(hashBytes(settings.node.value()), static_cast<std::uint64_t>(started.count()));
}

}  // namespace

RelayNode::RelayNode(asio::any_io_executor executor, store::ObjectStore& direct,
                     http::Client& client, RelaySettings settings)
    : executor_(std::move(executor)),
      settings_(std::move(settings)),
      client_(client, settings_),
      store_(executor_, direct, client_),
      core_(settings_, seedOf(settings_)),
      server_([this](const std::string& kind) { return store_.cache(kind); },
              [this](const std::string& node) {
                const MonotonicTime now = monotonicNow();
                return core_.serves(now) && core_.renewChild(NodeId(node), now);
              }),
      lists_(direct, settings_.group),
      timer_(executor_) {
  store_.onRelayFailed(
      [this](const Endpoint& relay, const Error& cause) { onViewFailed(relay, cause); });
}

void RelayNode::start() {
  if (!settings_.readAges.empty()) {
    asio::co_spawn(executor_, refreshStaleViews(), asio::detached);
  }
  if (alone()) {
    store_.readDirectly();
  } else {
    asio::co_spawn(executor_, run(), asio::detached);
  }
}

std::vector<Endpoint> RelayNode::otherRelays() const {
  std::vector<Endpoint> endpoints;
  for (const Relay& root : core_.otherRoots()) {
    endpoints.push_back(root.endpoint);
  }
  return endpoints;
}

std::vector<Endpoint> RelayNode::roots() const {
  std::vector<Endpoint> endpoints;
  for (const Relay& root : core_.roots()) {
    if (root.endpoint != settings_.endpoint) {
      endpoints.push_back(root.endpoint);
    }
  }
  return endpoints;
}

std::vector<Endpoint> RelayNode::newestRoots() const {
  std::vector<Endpoint> endpoints;
  for (const Relay& root : core_.newestRoots()) {
    endpoints.push_back(root.endpoint);
  }
  return endpoints;
}

bool RelayNode::isWholeTree() const {
  return alone() || (isRelay() && roots().empty() && core_.children(monotonicNow()) == 0);
}

bool RelayNode::mayGrant() {
  const MonotonicTime now = monotonicNow();
  core_.keepConfirmed(now);
  return isWholeTree() || core_.mayGrant(now, store_.provenAt());
}

awaitable<void> RelayNode::handle(http::Request& request, http::ResponseWriter& writer) {
  if (request.target == kJoinPath) {
    co_await answerJoin(request, writer);
  } else if (request.target == kRootsPath) {
    co_await answerRoots(request, writer);
  } else {
    co_await server_.handle(request, writer);
  }
}

awaitable<void> RelayNode::answerJoin(http::Request& request, http::ResponseWriter& writer) {
  co_await peer::answerPeer<JoinRequest, JoinReply>(
      request, writer, [this](const JoinRequest& join) -> awaitable<JoinReply> {
        co_return core_.answer(join, monotonicNow(), store_.provenAt());
      });
}

awaitable<void> RelayNode::answerRoots(http::Request& request, http::ResponseWriter& writer) {
  co_await peer::answerPeer<RelayList, RelayList>(
      request, writer, [this](RelayList list) -> awaitable<RelayList> {
        list.revision = store::withEra(list.revision, store_.era());
        co_return core_.learnRoots(list, monotonicNow());
      });
}

awaitable<void> RelayNode::run() {
  while (!stopped_) {
    co_await carryOut(core_.next(monotonicNow(), store_.provenAt()));
    if (!stopped_) {
      applyRole();
    }
  }
}

awaitable<void> RelayNode::carryOut(RelayAction action) {
  switch (action.step) {
    case RelayStep::kWait:
      co_await wait(action.until);
      break;
    case RelayStep::kReadList: {
      const Result<RelayList> list = co_await lists_.read();
      core_.onList(list, monotonicNow(), store_.provenAt());
      break;
    }
    case RelayStep::kReadStaleList: {
      const Result<RelayList> list = co_await lists_.readStale();
      core_.onStaleList(list, monotonicNow());
      break;
    }
    case RelayStep::kWriteList: {
      const Result<store::Revision> written = co_await lists_.write(action.list);
      core_.onListWritten(written ? std::optional(written.value()) : std::nullopt, monotonicNow());
      break;
    }
    case RelayStep::kSendJoin: {
      Result<JoinReply> reply = co_await client_.join(action.relay.endpoint, action.probeOnly);
      if (reply) {
        store::Revision& revision = reply.value().roots.revision;
        revision = store::withEra(revision, store_.era());
      }
      core_.onReply(action, reply, monotonicNow(), store_.provenAt());
      break;
    }
    case RelayStep::kAnnounceRoots: {
      const bool acknowledged = co_await client_.sendRoots(action.relay.endpoint, action.list);
      core_.onRootsAnnounced(action, acknowledged, monotonicNow());
      break;
    }
  }
}

awaitable<void> RelayNode::wait(MonotonicTime until) {
  timer_.expires_at(until);
  co_await timer_.async_wait(asio::as_tuple(asio::use_awaitable));
}

RelayNode::RefreshSchedulers RelayNode::makeRefreshSchedulers() const {
  Milliseconds shortest = Milliseconds::max();
  for (const auto& [kind, age] : settings_.readAges) {
    shortest = std::min(shortest, age);
  }
  const ViewRefreshSettings settings = viewRefreshSettings(shortest);
  const std::uint64_t seed = seedOf(settings_);
  RefreshSchedulers schedulers{ViewRefreshScheduler(settings, seed), {}, {}};
  for (const auto& [kind, age] : settings_.readAges) {
    schedulers.kinds.emplace(kind, ViewRefreshScheduler(settings, hashPair(seed, hashBytes(kind))));
    schedulers.order.push_back(kind);
  }
  return schedulers;
}

awaitable<void> RelayNode::refreshStaleViews() {
  RefreshSchedulers schedulers = makeRefreshSchedulers();
  asio::steady_timer timer(executor_);
  for (;;) {
    const MonotonicTime due = nextRefresh(schedulers);
    if (monotonicNow() < due) {
      timer.expires_at(due);
      co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
      continue;
    }
    const MonotonicTime asked = monotonicNow();
    const Round round = co_await refreshDueViews(schedulers);
    // A store that answers for one kind is available; the timeout concerns the other kind only.
    schedulers.store.onRead(round.anyRead || !round.timedOut, asked, monotonicNow());
    if (round.anyRead && onSourceChanged_) {
      onSourceChanged_();
    }
  }
}

MonotonicTime RelayNode::nextRefresh(const RefreshSchedulers& schedulers) {
  // Interval of checks for the first view, which comes from the node's source in the tree.
  constexpr Milliseconds kLookInterval{100};
  MonotonicTime next = MonotonicTime::max();
  for (const auto& [kind, age] : settings_.readAges) {
    const WatchCache* view = store_.cache(kind);
    if (view == nullptr || !view->known()) {
      next = std::min(next, monotonicNow() + kLookInterval);
      continue;
    }
    const ViewRefreshScheduler& scheduler = schedulers.kinds.at(kind);
    const MonotonicTime due = schedulers.store.due(view->provenAt(), age, core_.depth());
    const MonotonicTime arrived = store_.lastBytesAt(kind) + scheduler.settings().callTimeout;
    next = std::min(next, std::max({due, scheduler.notBefore(), arrived}));
  }
  return next;
}

awaitable<RelayNode::Round> RelayNode::refreshDueViews(RefreshSchedulers& schedulers) {
  Round round;
  const std::vector<std::string> order = schedulers.order;
  for (const std::string& kind : order) {
    const WatchCache* view = store_.cache(kind);
    ViewRefreshScheduler& scheduler = schedulers.kinds.at(kind);
    const MonotonicTime now = monotonicNow();
    if (view == nullptr || !view->known() || now < scheduler.notBefore() ||
        now - view->provenAt() < settings_.readAges.at(kind) ||
        isArriving(kind, scheduler.settings().callTimeout)) {
      continue;
    }
    const std::optional<Result<void>> outcome =
        co_await readView(kind, scheduler.settings().callTimeout);
    if (!outcome) {
      continue;
    }
    const Result<void>& read = *outcome;
    scheduler.onRead(static_cast<bool>(read), now, monotonicNow());
    if (read) {
      round.anyRead = true;
      continue;
    }
    std::erase(schedulers.order, kind);
    schedulers.order.push_back(kind);
    if (read.error().kind == ErrorKind::kDeadlineExceeded) {
      round.timedOut = true;
      break;
    }
  }
  co_return round;
}

awaitable<std::optional<Result<void>>> RelayNode::readView(std::string kind,
                                                           Milliseconds maxSilence) {
  // A call that is silent ends by itself before this.
  constexpr Milliseconds kEndOfCall{20};
  const auto reading = std::make_shared<ViewReading>(ViewReading{
      asio::steady_timer(executor_, monotonicNow() + maxSilence + kEndOfCall), {}, true});
  asio::co_spawn(executor_, readViewToEnd(std::move(kind), maxSilence, reading), asio::detached);
  while (!reading->outcome) {
    const auto [code] = co_await reading->done.async_wait(asio::as_tuple(asio::use_awaitable));
    if (!code && !reading->outcome) {
      reading->awaited = false;
      co_return std::nullopt;
    }
  }
  co_return reading->outcome;
}

RelayedStore::Listings RelayNode::allowedListings(const std::string& kind, Milliseconds age) const {
  // A node above that needs a listing, too, has begun it earlier and passes on what differs.
  const Milliseconds readAge = settings_.readAges.at(kind);
  const bool late = age >= readAge + readAge / kLongListingDelayDivisor;
  return late ? RelayedStore::Listings::kAllowed : RelayedStore::Listings::kShort;
}

awaitable<void> RelayNode::readViewToEnd(std::string kind, Milliseconds maxSilence,
                                         std::shared_ptr<ViewReading> reading) {
  const MonotonicTime asked = monotonicNow();
  const auto age = std::chrono::floor<Milliseconds>(asked - store_.provenAt(kind));
  const Result<void> read = co_await store_.refresh(kind, maxSilence, allowedListings(kind, age));
  const auto took = std::chrono::ceil<Milliseconds>(monotonicNow() - asked);
  log::write(log::Level::kInfo, "view_read_from_store",
             {{"kind", kind},
              {"age_ms", std::to_string(age.count())},
              {"took_ms", std::to_string(took.count())},
              {"outcome", read ? "read" : read.error().detail}});
  reading->outcome = read;
  reading->done.cancel();
  if (!reading->awaited && read && onSourceChanged_) {
    onSourceChanged_();
  }
}

void RelayNode::applyRole() {
  const std::optional<Endpoint> parent = core_.parent();
  if (parent) {
    store_.follow(*parent);
  } else if (core_.role() == RelayRole::kRoot) {
    store_.readDirectly();
  } else {
    store_.detach();
  }
  if (core_.role() == loggedRole_ && parent == loggedParent_) {
    return;
  }
  loggedRole_ = core_.role();
  loggedParent_ = parent;
  if (onSourceChanged_) {
    onSourceChanged_();
  }
  log::write(log::Level::kInfo, "relay_role",
             {{"role", roleName(loggedRole_)},
              {"parent", parent ? parent->toString() : ""},
              {"depth", std::to_string(core_.depth())}});
}

void RelayNode::onViewFailed(const Endpoint& relay, const Error& cause) {
  log::write(log::Level::kWarning, "relay_view_failed",
             {{"relay", relay.toString()}, {"cause", cause.detail}});
  core_.onViewFailed(relay, monotonicNow());
  timer_.cancel();
}

awaitable<void> RelayNode::stop() {
  const bool wasRoot = isRelay();
  stopped_ = true;
  core_.stop();
  timer_.cancel();
  if (!wasRoot) {
    co_return;
  }
  Result<RelayList> list = co_await lists_.read();
  const Relay own{settings_.endpoint, settings_.zone};
  if (list && std::erase(list.value().relays, own) > 0) {
    // A list that still names this node costs each of its children one refused connection.
    const Result<store::Revision> written = co_await lists_.write(std::move(list.value()));
    if (!written) {
      log::write(log::Level::kWarning, "relay_still_listed", {{"cause", written.error().detail}});
    }
  }
}

}  // namespace calicodrift::relay
