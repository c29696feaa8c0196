#include "server_limits/server_limit_node.h"

#include <algorithm>
#include <boost/asio.hpp>
#include <boost/json.hpp>
#include <utility>

#include "common/hashing.h"
#include "http/status.h"
#include "log/log.h"
#include "peer/http_call.h"
#include "server_limits/root_order.h"

namespace calicodrift::server_limits {

namespace asio = boost::asio;
using asio::awaitable;

namespace {

/// Update interval until the other nodes have answered.
constexpr Milliseconds kStartInterval{100};
/// Interval between removals of unlisted runs.
constexpr Milliseconds kExpiryInterval{15'000};
/// One hop from a root to a root of another tree, and one to the first root there.
constexpr std::uint32_t kMaxHops = 2;
/// Timeout of a call to another root; short enough that the node that called this one is still
/// waiting.
constexpr Milliseconds kForwardTimeout{80};
/// The same for a root of another tree.
constexpr Milliseconds kCrossTreeForwardTimeout{400};
/// Wait told to the caller if no node could decide.
constexpr Milliseconds kUndecidedWait{250};

std::string formatRate(double perSecond) {
  return std::to_string(perSecond);
}

}  // namespace

ServerLimitNode::ServerLimitNode(ServerLimitContext context, ServerLimitMetrics& metrics)
    : context_(std::move(context)),
      metrics_(metrics),
      notices_(exchangeContext(), table_, refusalLimits_, metrics),
      random_(std::random_device{}()),
      holder_(random_()) {}

NoticeExchangeContext ServerLimitNode::exchangeContext() {
  return {
      context_.executor,
      context_.client,
      context_.tree,
      context_.pool,
      context_.trees,
      context_.ownTree,
      context_.rootsOfTree,
      [this](const LimitRecord& record) { onLimitLearnt(record); },
      [this](fleet::ServerKey server, Milliseconds pause) { return onFullLearnt(server, pause); }};
}

std::optional<fleet::Server> ServerLimitNode::serverOf(fleet::ServerKey run) const {
  const fleet::Server* server = context_.pool.findRun(run);
  return server == nullptr ? std::nullopt : std::optional(*server);
}

void ServerLimitNode::start() {
  startedAt_ = monotonicNow();
  asio::co_spawn(context_.executor, run(), asio::detached);
}

awaitable<void> ServerLimitNode::run() {
  asio::steady_timer timer(context_.executor);
  for (;;) {
    co_await notices_.update();
    removeUnlisted(monotonicNow());
    maintainIssuedServers();
    maintainPermits();
    timer.expires_after(synchronized() ? kInterval : kStartInterval);
    co_await timer.async_wait(asio::use_awaitable);
  }
}

bool ServerLimitNode::synchronized() const {
  return notices_.settled() || monotonicNow() - startedAt_ > kMaxStartupTime;
}

awaitable<void> ServerLimitNode::handle(http::Request& request, http::ResponseWriter& writer) {
  if (request.path() == kUnitPath) {
    co_await peer::answerPeer<UnitRequest, UnitReply>(
        request, writer, [this](UnitRequest asked) { return decide(std::move(asked)); });
    co_return;
  }
  co_await peer::answerPeer<LimitReport, LimitReport>(request, writer, [this](LimitReport report) {
    return notices_.handleReport(std::move(report));
  });
}

void ServerLimitNode::onLimitLearnt(const LimitRecord& record) {
  refusedUntil_.erase(record.server);
  const std::optional<fleet::Server> server = serverOf(record.server);
  log::write(log::Level::kInfo, "server_limit_learnt",
             {{"server", server ? server->id.value() : ""},
              {"per_second", record.limited ? formatRate(record.perSecond) : "none"},
              {"version", std::to_string(record.version.value())}});
}

void ServerLimitNode::recordAnswerHead(const fleet::Server& server, LimitVersion seen,
                                       const NamedLimit& named) {
  if (named && !named.value() && !any()) {
    return;
  }
  const fleet::ServerKey key = fleet::keyOf(server);
  if (!named) {
    metrics_.countUnreadable();
    if (unreadable_.insert(key).second) {
      log::write(log::Level::kWarning, "server_limit_unreadable",
                 {{"server", server.id.value()}, {"cause", named.error().detail}});
    }
    return;
  }
  if (!table_.recordAnswer(key, seen, named.value())) {
    return;
  }
  refusedUntil_.erase(key);
  if (named.value()) {
    metrics_.countNamed();
  } else {
    metrics_.countLifted();
  }
  log::write(log::Level::kInfo, named.value() ? "server_limit_named" : "server_limit_lifted",
             {{"server", server.id.value()},
              {"per_second", named.value() ? formatRate(*named.value()) : "none"},
              {"version", std::to_string(table_.versionOf(key).value())},
              {"known_at_send", std::to_string(seen.value())}});
  notices_.announceLimits();
}

std::vector<Endpoint> ServerLimitNode::rankedRoots(fleet::ServerKey server) const {
  return rankRoots(server, context_.grantingRoots());
}

const std::string& ServerLimitNode::treeFor(fleet::ServerKey server) const {
  if (context_.trees.empty()) {
    return context_.ownTree;
  }
  return selectByHash(server, context_.trees);
}

Milliseconds ServerLimitNode::unitTimeout() const {
  return context_.trees.size() > 1 ? kCrossTreeUnitTimeout : kUnitTimeout;
}

Milliseconds ServerLimitNode::unitTerm() const {
  return context_.trees.size() > 1 ? kCrossTreeUnitTerm : kUnitTerm;
}

awaitable<UnitResult> ServerLimitNode::take(fleet::Server server) {
  const fleet::ServerKey key = fleet::keyOf(server);
  const LimitRecord* known = table_.find(key);
  if (known == nullptr || !known->limited) {
    co_return UnitResult{};
  }
  const MonotonicTime begin = monotonicNow();
  const auto refused = refusedUntil_.find(key);
  if (refused != refusedUntil_.end() && begin < refused->second) {
    metrics_.countUnit(false);
    const auto wait = std::chrono::ceil<Milliseconds>(refused->second - begin);
    co_return UnitResult{false, false, wait};
  }
  UnitRequest request;
  request.limit = *known;
  const UnitReply reply = co_await ask(request);
  const MonotonicTime now = monotonicNow();
  constexpr double kMsPerSecond = 1000;
  metrics_.observeWait(toMilliseconds(now - begin) / kMsPerSecond);
  if (!reply.decided) {
    metrics_.countUndecided();
  }
  const bool usedLimitUnit = reply.decided && reply.granted && reply.limit.limited;
  const bool granted = usedLimitUnit || !isLimited(server);
  metrics_.countUnit(granted);
  if (granted) {
    co_return UnitResult{true, usedLimitUnit, Milliseconds(0)};
  }
  const Milliseconds wait = reply.decided ? Milliseconds(reply.waitMs) : kUndecidedWait;
  refusedUntil_[key] = now + std::min(wait, kMaxRefusalTime);
  co_return UnitResult{false, false, wait};
}

void ServerLimitNode::giveBack(const fleet::Server& server) {
  const LimitRecord* known = table_.find(fleet::keyOf(server));
  if (known == nullptr || !known->limited) {
    return;
  }
  UnitRequest request;
  request.limit = *known;
  request.isReturn = true;
  asio::co_spawn(
      context_.executor,
      [this, request]() -> awaitable<void> { static_cast<void>(co_await ask(request)); },
      asio::detached);
}

UnitReply ServerLimitNode::undecidedReply(const UnitRequest& request) const {
  UnitReply reply;
  const LimitRecord* known = table_.find(request.limit.server);
  reply.limit = known == nullptr ? request.limit : *known;
  return reply;
}

awaitable<UnitReply> ServerLimitNode::ask(UnitRequest request) {
  if (context_.tree.isAlone() && treeFor(request.limit.server) == context_.ownTree) {
    co_return issue(request);
  }
  for (const Endpoint& root : rankedRoots(request.limit.server)) {
    UnitReply reply;
    if (root == context_.tree.endpoint) {
      reply = co_await decide(request);
    } else if (!rootSilence_.isSilent(root, monotonicNow())) {
      reply = co_await call(root, request, unitTimeout());
    }
    if (reply.decided) {
      co_return reply;
    }
  }
  co_return undecidedReply(request);
}

awaitable<UnitReply> ServerLimitNode::call(Endpoint root, UnitRequest request,
                                           Milliseconds timeout) {
  const Result<UnitReply> reply = co_await peer::callPeer<UnitReply>(
      context_.client, root, kUnitPath, request, timeout, timeout);
  if (!reply) {
    rootSilence_.noteFailure(root, monotonicNow());
    co_return undecidedReply(request);
  }
  rootSilence_.noteAnswer(root);
  if (request.permit.operation == PermitOperation::kNone) {
    notices_.mergeLimits({reply.value().limit});
  }
  co_return reply.value();
}

awaitable<UnitReply> ServerLimitNode::forwardToTree(std::string tree, UnitRequest request) {
  ++request.hops;
  const std::vector<Endpoint> roots = co_await context_.rootsOfTree(std::move(tree));
  for (const Endpoint& root : roots) {
    const UnitReply reply = co_await call(root, request, kCrossTreeForwardTimeout);
    if (reply.decided) {
      co_return reply;
    }
  }
  co_return undecidedReply(request);
}

awaitable<UnitReply> ServerLimitNode::decide(UnitRequest request) {
  const bool isAboutUnit = request.permit.operation == PermitOperation::kNone;
  if (isAboutUnit) {
    notices_.mergeLimits({request.limit});
  }
  const fleet::ServerKey server = request.limit.server;
  UnitReply reply = undecidedReply(request);
  if (isAboutUnit && !reply.limit.limited) {
    reply.decided = true;
    reply.granted = true;
    co_return reply;
  }
  if (!context_.tree.isRoot() && !context_.tree.isAlone()) {
    co_return reply;
  }
  if (treeFor(server) != context_.ownTree) {
    if (request.hops == 0) {
      reply = co_await forwardToTree(treeFor(server), request);
    }
    co_return reply;
  }
  for (const Endpoint& root : precedingRoots(server)) {
    if (request.hops >= kMaxHops || rootSilence_.isSilent(root, monotonicNow())) {
      continue;
    }
    UnitRequest forwarded = request;
    ++forwarded.hops;
    reply = co_await call(root, forwarded, kForwardTimeout);
    if (reply.decided) {
      stopIssuing(server);
      co_return reply;
    }
  }
  co_return issuesUnitsFor(server) ? issue(request) : reply;
}

UnitReply ServerLimitNode::issue(const UnitRequest& request) {
  return request.permit.operation == PermitOperation::kNone ? issueUnit(request)
                                                            : issuePermit(request);
}

UnitReply ServerLimitNode::issueUnit(const UnitRequest& request) {
  const fleet::ServerKey server = request.limit.server;
  UnitReply reply = undecidedReply(request);
  const MonotonicTime now = monotonicNow();
  if (!context_.mayGrant()) {
    stopIssuing(server);
    return reply;
  }
  reply.decided = true;
  if (request.isReturn) {
    issuer_.giveBack(server, now);
    return reply;
  }
  const UnitDecision decision = issuer_.take(reply.limit, context_.settledAt(), now);
  reply.granted = decision.granted;
  reply.waitMs = static_cast<std::uint32_t>(decision.wait.count());
  return reply;
}

std::vector<Endpoint> ServerLimitNode::precedingRoots(fleet::ServerKey server) const {
  std::vector<Endpoint> roots = rankedRoots(server);
  roots.erase(std::find(roots.begin(), roots.end(), context_.tree.endpoint), roots.end());
  return roots;
}

bool ServerLimitNode::issuesUnitsFor(fleet::ServerKey server) const {
  if (treeFor(server) != context_.ownTree) {
    return false;
  }
  if (context_.tree.isAlone()) {
    return true;
  }
  const std::vector<Endpoint> before = precedingRoots(server);
  const MonotonicTime now = monotonicNow();
  return context_.tree.isRoot() &&
         std::all_of(before.begin(), before.end(), [this, now](const Endpoint& root) {
           return rootSilence_.isPresumedDead(root, now);
         });
}

void ServerLimitNode::stopIssuing(fleet::ServerKey server) {
  issuer_.forget(server);
  permits_.forget(server);
  probedAt_.erase(server);
}

void ServerLimitNode::removeUnlisted(MonotonicTime now) {
  if (now - lastExpiryAt_ < kExpiryInterval) {
    return;
  }
  // While the list cannot be kept up to date, live servers may be missing from it.
  const bool listWasFresh =
      std::exchange(listIsFresh_, now - context_.listFreshAt() < kExpiryInterval);
  const auto sinceLast = std::chrono::floor<Milliseconds>(now - lastExpiryAt_);
  lastExpiryAt_ = now;
  context_.pool.expireNotices(listWasFresh && listIsFresh_ ? sinceLast : Milliseconds(0), now);
  const auto isListed = [this](fleet::ServerKey server) { return serverOf(server).has_value(); };
  table_.removeUnlisted(isListed);
  refusalLimits_.removeUnlisted(isListed, now);
  std::erase_if(unreadable_, [&isListed](fleet::ServerKey server) { return !isListed(server); });
}

void ServerLimitNode::maintainIssuedServers() {
  const MonotonicTime now = monotonicNow();
  if (!any()) {
    probedAt_.clear();
    issuer_.forgetAll();
    refusedUntil_.clear();
    return;
  }
  // Also renews the proof of this node's role, so that the next unit need not wait for it.
  const bool mayGrant = context_.mayGrant();
  for (const LimitRecord& record : table_.limited()) {
    const fleet::ServerKey server = record.server;
    if (!issuesUnitsFor(server) || !mayGrant) {
      stopIssuing(server);
      continue;
    }
    const std::optional<fleet::Server> listed = serverOf(server);
    if (listed && needsProbe(record, now) && probing_.insert(server).second) {
      probedAt_[server] = now;
      asio::co_spawn(context_.executor, probe(*listed), asio::detached);
    }
  }
}

bool ServerLimitNode::needsProbe(const LimitRecord& limit, MonotonicTime now) {
  const MonotonicTime probedAt = probedAt_.try_emplace(limit.server, now).first->second;
  const MonotonicTime given =
      std::max(probedAt, issuer_.lastGranted(limit.server).value_or(probedAt));
  if (now - given >= kMaxProbeDelay) {
    return true;
  }
  // While requests ask for units, leave the next unit to them: the answer will tell the limit.
  const MonotonicTime asked = std::max(given, issuer_.lastRequested(limit.server).value_or(given));
  if (now - asked < kProbeAfter) {
    return false;
  }
  UnitRequest request;
  request.limit = limit;
  return issueUnit(request).granted;
}

awaitable<void> ServerLimitNode::probe(fleet::Server server) {
  metrics_.countProbe();
  const fleet::ServerKey key = fleet::keyOf(server);
  co_await context_.probe(std::move(server));
  probing_.erase(key);
}

boost::json::array ServerLimitNode::leavingList() const {
  boost::json::array list;
  for (const fleet::ServerKey run : context_.pool.leaving().addedSince(0)) {
    if (const std::optional<fleet::Server> server = serverOf(run)) {
      list.push_back(
          boost::json::object{{"server", server->id.value()}, {"service", server->service}});
    }
  }
  return list;
}

boost::json::array ServerLimitNode::backoffList() const {
  boost::json::array list;
  const MonotonicTime now = monotonicNow();
  for (const auto& [id, end] : context_.pool.backoffs().excluded(now)) {
    const fleet::Server* server = context_.pool.find(id);
    const auto left = std::chrono::ceil<Milliseconds>(end - now);
    list.push_back(boost::json::object{{"server", id.value()},
                                       {"service", server == nullptr ? "" : server->service},
                                       {"ms", left.count()}});
  }
  return list;
}

awaitable<void> ServerLimitNode::answerOperator(http::ResponseWriter& writer) const {
  boost::json::array list;
  for (const LimitRecord& record : table_.limited()) {
    const std::optional<fleet::Server> server = serverOf(record.server);
    list.push_back(
        boost::json::object{{"server", server ? server->id.value() : ""},
                            {"service", server ? server->service : ""},
                            {"per_second", record.perSecond},
                            {"version", record.version.value()},
                            {"units_given_here", issuer_.issuesUnitsFor(record.server)}});
  }
  const boost::json::object document{{"servers", list},
                                     {"leaving", leavingList()},
                                     {"resting", backoffList()},
                                     {"spared", sparedList()}};
  const std::string text = boost::json::serialize(document);
  co_await http::respond(writer, http::jsonResponse(http::kStatusOk, text));
}

}  // namespace calicodrift::server_limits
