// Permits for requests to servers that fail if they have to refuse many.

#include <algorithm>
#include <boost/asio.hpp>
#include <boost/json.hpp>
#include <utility>

#include "log/log.h"
#include "server_limits/server_limit_node.h"

namespace calicodrift::server_limits {

namespace asio = boost::asio;
using asio::awaitable;

namespace {

/// Wait for the next attempt if no node could decide.
constexpr Milliseconds kUndecidedWait{250};

}  // namespace

bool ServerLimitNode::needsPermit(const fleet::Server& server, bool counted) {
  const MonotonicTime now = monotonicNow();
  if (!refusalLimits_.any(now)) {
    return false;
  }
  fleet::KnownLoad load = context_.pool.knownLoad(server.id);
  load.own -= counted && load.own > 0 ? 1 : 0;
  return refusalLimits_.needsPermit(server, load, now);
}

UnitRequest ServerLimitNode::permitRequest(const fleet::Server& server, PermitOperation operation,
                                           std::uint64_t number) const {
  UnitRequest request;
  request.limit.server = fleet::keyOf(server);
  request.permit.operation = operation;
  request.permit.permit = {holder_, number};
  request.permit.refusalLimit = refusalLimits_.limitOf(server, monotonicNow()).value_or(0);
  request.permit.slots = static_cast<std::uint32_t>(server.slots);
  return request;
}

void ServerLimitNode::sendPermitRequest(UnitRequest request) {
  asio::co_spawn(
      context_.executor,
      [this, request = std::move(request)]() -> awaitable<void> {
        static_cast<void>(co_await ask(request));
      },
      asio::detached);
}

awaitable<PermitResult> ServerLimitNode::acquirePermit(fleet::Server server) {
  if (!needsPermit(server)) {
    co_return PermitResult{};
  }
  const fleet::ServerKey key = fleet::keyOf(server);
  const auto refused = noPermitUntil_.find(key);
  if (const MonotonicTime now = monotonicNow();
      refused != noPermitUntil_.end() && now < refused->second) {
    co_return PermitResult{false, {}, std::chrono::ceil<Milliseconds>(refused->second - now)};
  }
  const std::uint64_t number = ++lastPermit_;
  const UnitReply reply = co_await ask(permitRequest(server, PermitOperation::kAcquire, number));
  const MonotonicTime now = monotonicNow();
  if (reply.decided) {
    issuerIsOlder_ = reply.form < kFormWithPermits;
  }
  if (reply.decided && issuerIsOlder_) {
    const bool paused = context_.pool.full().addedAt(key, now).has_value();
    co_return PermitResult{!paused, {}, kUndecidedWait, true};
  }
  if (reply.decided && reply.granted) {
    metrics_.countPermit(true);
    heldPermits_.add(key, number, now);
    co_return PermitResult{true, number, {}, true};
  }
  Milliseconds wait = kUndecidedWait;
  if (reply.decided) {
    metrics_.countPermit(false);
    // Nodes that are refused together do not ask again together.
    const auto told = static_cast<std::int64_t>(reply.waitMs);
    wait = Milliseconds(std::uniform_int_distribution<std::int64_t>(told / 2, told)(random_));
  } else {
    metrics_.countUndecidedPermit();
    // The permit may have been issued, and the answer lost.
    sendPermitRequest(permitRequest(server, PermitOperation::kReturn, number));
  }
  noPermitUntil_[key] = now + wait;
  refusalLimits_.recordNoPermit(server.service);
  co_return PermitResult{false, {}, wait, true};
}

void ServerLimitNode::endPermit(const fleet::Server& server, std::uint64_t number, PermitEnd end) {
  PermitOperation operation = PermitOperation::kRelease;
  if (end == PermitEnd::kRefused) {
    operation = PermitOperation::kRefused;
  } else if (end == PermitEnd::kReturned) {
    operation = PermitOperation::kReturn;
  }
  heldPermits_.remove(fleet::keyOf(server), number);
  sendPermitRequest(permitRequest(server, operation, number));
}

void ServerLimitNode::reportRefusal(const fleet::Server& server) {
  constexpr std::uint64_t kNoPermit = 0;
  sendPermitRequest(permitRequest(server, PermitOperation::kRefused, kNoPermit));
}

void ServerLimitNode::recordRefusalLimit(const fleet::Server& server, LimitVersion seen,
                                         const NamedLimit& named) {
  const MonotonicTime now = monotonicNow();
  if (!named || (!named.value() && !refusalLimits_.any(now))) {
    return;
  }
  if (!refusalLimits_.recordAnswer(server, seen, named.value(), now)) {
    return;
  }
  log::write(log::Level::kInfo, "server_refusal_limit",
             {{"server", server.id.value()},
              {"per_second", named.value() ? std::to_string(*named.value()) : "none"},
              {"known_at_send", std::to_string(seen.value())}});
  notices_.announceRefusalLimits();
}

bool ServerLimitNode::recordFull(const fleet::Server& server, Milliseconds pause) {
  const bool isNew = onFullLearnt(fleet::keyOf(server), pause);
  if (isNew) {
    notices_.announceFull();
  }
  return isNew;
}

bool ServerLimitNode::onFullLearnt(fleet::ServerKey server, Milliseconds pause) {
  const MonotonicTime now = monotonicNow();
  refusalLimits_.recordRefusal(server, now);
  if (!issuerIsOlder_) {
    return context_.pool.noteFull(server, now + pause, now);
  }
  std::uniform_int_distribution<std::int64_t> spread(0, pause.count());
  return context_.pool.recordFull(server, now + pause, Milliseconds(spread(random_)), now);
}

ServerCapacity ServerLimitNode::capacityOf(const UnitRequest& request) const {
  ServerCapacity capacity;
  capacity.server = request.limit.server;
  capacity.refusalLimit = request.permit.refusalLimit;
  capacity.slots = request.permit.slots;
  if (const fleet::Server* server = context_.pool.findRun(capacity.server)) {
    const fleet::KnownLoad load = context_.pool.knownLoad(server->id);
    const MonotonicTime now = monotonicNow();
    capacity.reportedLoad = load.requests();
    capacity.slots = server->slots;
    capacity.refusalLimit = refusalLimits_.limitOf(*server, now).value_or(capacity.refusalLimit);
  }
  return capacity;
}

UnitReply ServerLimitNode::issuePermit(const UnitRequest& request) {
  UnitReply reply = undecidedReply(request);
  const fleet::ServerKey server = request.limit.server;
  const PermitRequest& asked = request.permit;
  if (!context_.mayGrant()) {
    permits_.forget(server);
    return reply;
  }
  reply.decided = true;
  const MonotonicTime now = monotonicNow();
  const ServerCapacity capacity = capacityOf(request);
  switch (asked.operation) {
    case PermitOperation::kAcquire: {
      const PermitDecision decision =
          permits_.acquire(capacity, asked.permit, context_.settledAt(), now);
      reply.granted = decision.granted;
      reply.waitMs = static_cast<std::uint32_t>(decision.wait.count());
      break;
    }
    case PermitOperation::kRelease:
      permits_.release(server, asked.permit, now);
      break;
    case PermitOperation::kRefused:
      permits_.recordRefusal(capacity, asked.permit, now);
      log::write(log::Level::kInfo, "server_room_learnt",
                 {{"server", serverOf(server).value_or(fleet::Server()).id.value()},
                  {"room", std::to_string(permits_.roomOf(server))},
                  {"permits", std::to_string(permits_.issuedFor(server))}});
      break;
    case PermitOperation::kReturn:
      permits_.takeBack(server, asked.permit);
      break;
    case PermitOperation::kRenew:
      permits_.renew(capacity, asked.permit.holder, asked.held, now);
      break;
    case PermitOperation::kNone:
      break;
  }
  return reply;
}

void ServerLimitNode::updateServiceLoads(MonotonicTime now) {
  if (!refusalLimits_.any(now)) {
    return;
  }
  struct Total {
    std::size_t requests = 0;
    std::size_t slots = 0;
  };
  std::unordered_map<std::string, Total> totals;
  for (const std::string& service : refusalLimits_.services()) {
    totals[service] = {};
  }
  context_.pool.visit([this, &totals](const fleet::Server& server) {
    const auto found = totals.find(server.service);
    if (found != totals.end() && !server.draining) {
      found->second.requests += context_.pool.knownLoad(server.id).requests();
      found->second.slots += server.slots;
    }
  });
  for (const auto& [service, total] : totals) {
    refusalLimits_.recordServiceLoad(service, total.requests, total.slots, now);
  }
}

void ServerLimitNode::maintainPermits() {
  const MonotonicTime now = monotonicNow();
  updateServiceLoads(now);
  for (const fleet::ServerKey server : heldPermits_.takeDue(now)) {
    UnitRequest request;
    request.limit.server = server;
    if (const std::optional<fleet::Server> listed = serverOf(server)) {
      request = permitRequest(*listed, PermitOperation::kRenew, 0);
    } else {
      request.permit.operation = PermitOperation::kRenew;
      request.permit.permit.holder = holder_;
    }
    request.permit.held = heldPermits_.numbersFor(server);
    sendPermitRequest(std::move(request));
  }
  std::erase_if(noPermitUntil_, [now](const auto& item) { return item.second <= now; });
  permits_.expire(now);
  for (const fleet::ServerKey server : permits_.servers()) {
    if (!issuesUnitsFor(server) || !context_.mayGrant()) {
      permits_.forget(server);
    }
  }
}

boost::json::array ServerLimitNode::sparedList() const {
  boost::json::array list;
  for (const LimitRecord& record : refusalLimits_.table().limited()) {
    const std::optional<fleet::Server> server = serverOf(record.server);
    list.push_back(boost::json::object{{"server", server ? server->id.value() : ""},
                                       {"service", server ? server->service : ""},
                                       {"refusals_per_second", record.perSecond},
                                       {"permits_issued_here", permits_.issuedFor(record.server)},
                                       {"room", permits_.roomOf(record.server)}});
  }
  return list;
}

}  // namespace calicodrift::server_limits
