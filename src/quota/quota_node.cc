#include "quota/quota_node.h"

#include <algorithm>
#include <boost/asio.hpp>
#include <utility>

#include "limits/return_time.h"
#include "peer/http_call.h"

namespace calicodrift::quota {

namespace asio = boost::asio;
using asio::awaitable;

namespace {

/// Maximum depth of the tree; a batch that has passed through more nodes is in a cycle.
constexpr std::uint32_t kMaxHops = 12;
/// Number of roots that are tried if the parent does not respond.
constexpr std::size_t kMaxRootsTried = 2;
/// An unresponsive source is tried again after the time in which the tree finds another one.
constexpr Milliseconds kSourceBackoff{300};
/// Backoff for an unresponsive lender: a partitioned region stays partitioned for longer.
constexpr Milliseconds kLenderBackoff{2000};
/// Wait time reported for a claim that was not decided.
constexpr Milliseconds kUndecidedWait{250};

}  // namespace

QuotaNode::QuotaNode(QuotaNodeContext context, QuotaBounds bounds, QuotaMetrics& metrics,
                     std::uint64_t seed)
    : context_(std::move(context)), core_(bounds), metrics_(metrics), random_(seed) {}

void QuotaNode::start() {
  asio::co_spawn(context_.executor, refreshRolePeriodically(), asio::detached);
  if (context_.lenders) {
    asio::co_spawn(context_.executor, borrow(), asio::detached);
  }
}

awaitable<void> QuotaNode::refreshRolePeriodically() {
  asio::steady_timer timer(context_.executor);
  for (;;) {
    refreshRole(monotonicNow());
    timer.expires_after(QuotaCore::kRoleRefreshInterval);
    co_await timer.async_wait(asio::use_awaitable);
  }
}

awaitable<void> QuotaNode::borrow() {
  asio::steady_timer timer(context_.executor);
  for (;;) {
    timer.expires_after(kBorrowInterval);
    co_await timer.async_wait(asio::use_awaitable);
    if (core_.borrowClaims(1, monotonicNow()).empty()) {
      continue;
    }
    const std::vector<Endpoint> known = co_await context_.lenders();
    const std::vector<Endpoint> lenders = idleLenders(known);
    const std::vector<Claim> claims = core_.borrowClaims(lenders.size(), monotonicNow());
    for (const Endpoint& lender : lenders) {
      if (!claims.empty() && pendingLenders_.insert(lender).second) {
        asio::co_spawn(context_.executor, borrowFrom(lender, claims), asio::detached);
      }
    }
  }
}

std::vector<Endpoint> QuotaNode::idleLenders(const std::vector<Endpoint>& lenders) const {
  const MonotonicTime now = monotonicNow();
  std::vector<Endpoint> idle;
  for (const Endpoint& lender : lenders) {
    const auto unresponsive = unresponsiveUntil_.find(lender);
    const bool answers = unresponsive == unresponsiveUntil_.end() || now >= unresponsive->second;
    if (answers && !pendingLenders_.contains(lender)) {
      idle.push_back(lender);
    }
  }
  return idle;
}

awaitable<void> QuotaNode::borrowFrom(Endpoint lender, std::vector<Claim> claims) {
  ClaimBatch message;
  message.claims = claims;
  message.fromRoot = true;
  const MonotonicTime sent = monotonicNow();
  const Result<ClaimReply> reply = co_await peer::callPeer<ClaimReply>(
      context_.client, lender, kClaimPath, message, kLenderTimeout, kLenderTimeout);
  pendingLenders_.erase(lender);
  const bool answered = reply && reply.value().answers.size() == claims.size();
  metrics_.countBatch(answered);
  if (!answered) {
    unresponsiveUntil_[lender] = monotonicNow() + kLenderBackoff;
    co_return;
  }
  unresponsiveUntil_.erase(lender);
  double borrowed = 0;
  for (std::size_t index = 0; index < claims.size(); ++index) {
    borrowed += core_.onBorrowed(claims[index], reply.value().answers[index], sent);
  }
  metrics_.countBorrowed(borrowed);
}

void QuotaNode::applyLimits(const std::map<TenantId, TenantLimit>& limits) {
  core_.applyLimits(limits, monotonicNow());
}

awaitable<QuotaVerdict> QuotaNode::take(const TenantId& tenant, double units) {
  const TenantKey key = keyOf(tenant);
  if (!core_.limits(key)) {
    co_return QuotaVerdict{};
  }
  const MonotonicTime begin = monotonicNow();
  refreshRole(begin);
  Decision decision = core_.claim(key, units, begin);
  if (decision.verdict == Verdict::kAskSource) {
    decision = co_await awaitDecision(enqueue(core_.toMessage(key, units, begin), 0));
    constexpr double kMsPerSecond = 1000.0;
    metrics_.observeWait(toMilliseconds(monotonicNow() - begin) / kMsPerSecond);
  }
  if (decision.verdict == Verdict::kGranted) {
    metrics_.countAdmitted(tenant.value(), units);
    co_return QuotaVerdict{};
  }
  metrics_.countRefused(tenant.value(), units);
  co_return refusal(key, decision.wait);
}

QuotaVerdict QuotaNode::refusal(TenantKey tenant, Milliseconds wait) {
  const MonotonicTime now = monotonicNow();
  QuotaVerdict verdict;
  verdict.granted = false;
  verdict.comeBack = limits::spreadReturn(wait, random_);
  if (TenantAccount* account = core_.findAccount(tenant)) {
    const auto whole = [](double units) { return std::to_string(std::llround(units)); };
    const auto age = std::chrono::duration_cast<Milliseconds>(now - lastAnswerAt_);
    verdict.facts =
        "limit " + whole(account->limit().unitsPerSecond) + "/s, requested here " +
        whole(account->demandAt(now)) + "/s, granted here " + whole(account->grantedAt(now)) +
        "/s, available here " + whole(account->heldAt(now)) + ", last source reply " +
        (lastAnswerAt_ == MonotonicTime{} ? "never" : std::to_string(age.count()) + " ms ago");
  }
  return verdict;
}

void QuotaNode::giveBack(const TenantId& tenant, double units) {
  core_.giveBack(keyOf(tenant), units, monotonicNow());
}

std::shared_ptr<QuotaNode::PendingClaim> QuotaNode::enqueue(const Claim& claim,
                                                            std::uint32_t hops) {
  auto waiting = std::make_shared<PendingClaim>(context_.executor, claim);
  waiting->hops = hops;
  waiting->decided.expires_at(asio::steady_timer::time_point::max());
  pending_.push_back(waiting);
  if (!std::exchange(sending_, true)) {
    asio::co_spawn(context_.executor, sendBatches(), asio::detached);
  }
  return waiting;
}

awaitable<Decision> QuotaNode::awaitDecision(std::shared_ptr<PendingClaim> waiting) {
  if (!waiting->decision) {
    co_await waiting->decided.async_wait(asio::as_tuple(asio::use_awaitable));
  }
  co_return waiting->decision.value_or(Decision{Verdict::kRefused, kUndecidedWait});
}

awaitable<void> QuotaNode::sendBatches() {
  while (!pending_.empty()) {
    co_await resolveBatch(std::exchange(pending_, {}));
  }
  sending_ = false;
}

awaitable<void> QuotaNode::resolveBatch(PendingClaims batch) {
  ClaimBatch message;
  message.fromRoot = core_.role().role == QuotaRole::kRoot;
  for (const auto& waiting : batch) {
    message.claims.push_back(waiting->claim);
    message.hops = std::max(message.hops, waiting->hops + 1);
  }
  const MonotonicTime sent = monotonicNow();
  const Result<ClaimReply> reply = co_await sendToSource(std::move(message));
  const MonotonicTime now = monotonicNow();
  const bool answered = reply && reply.value().answers.size() == batch.size();
  metrics_.countBatch(answered);
  if (answered) {
    lastAnswerAt_ = now;
  }
  for (std::size_t index = 0; index < batch.size(); ++index) {
    PendingClaim& waiting = *batch[index];
    if (answered) {
      waiting.decision = core_.onAnswer(waiting.claim, reply.value().answers[index], sent, now);
    } else {
      metrics_.countUnreached();
      waiting.decision = core_.onNoReply(waiting.claim.tenant, waiting.claim.units, now);
    }
    waiting.decided.cancel();
  }
}

awaitable<Result<ClaimReply>> QuotaNode::sendToSource(ClaimBatch message) {
  for (const Endpoint& source : sources()) {
    Result<ClaimReply> reply = co_await peer::callPeer<ClaimReply>(
        context_.client, source, kClaimPath, message, kSourceTimeout, kSourceTimeout);
    if (reply) {
      unresponsiveUntil_.erase(source);
      co_return reply;
    }
    unresponsiveUntil_[source] = monotonicNow() + kSourceBackoff;
  }
  co_return fail(ErrorKind::kNoBackend, "no quota source replied");
}

std::vector<Endpoint> QuotaNode::sources() const {
  const MonotonicTime now = monotonicNow();
  std::vector<Endpoint> found;
  const auto add = [this, now, &found](const Endpoint& source) {
    const auto unresponsive = unresponsiveUntil_.find(source);
    const bool usable = unresponsive == unresponsiveUntil_.end() || now >= unresponsive->second;
    if (usable && std::find(found.begin(), found.end(), source) == found.end()) {
      found.push_back(source);
    }
  };
  if (const std::optional<Endpoint> parent = context_.parent()) {
    add(*parent);
  }
  std::size_t rootsTried = 0;
  for (const Endpoint& root : context_.roots()) {
    if (rootsTried++ < kMaxRootsTried) {
      add(root);
    }
  }
  return found;
}

awaitable<void> QuotaNode::handle(http::Request& request, http::ResponseWriter& writer) {
  co_await peer::answerPeer<ClaimBatch, ClaimReply>(
      request, writer,
      [this](ClaimBatch batch) -> awaitable<ClaimReply> { return answer(std::move(batch)); });
}

bool QuotaNode::mayLend() const {
  return !context_.viewAge || context_.viewAge() <= context_.maxLendingViewAge;
}

awaitable<ClaimReply> QuotaNode::answer(ClaimBatch batch) {
  refreshRole(monotonicNow());
  const bool mayForward = !batch.fromRoot && batch.hops <= kMaxHops;
  std::vector<std::shared_ptr<PendingClaim>> waiting(batch.claims.size());
  std::vector<Decision> decisions(batch.claims.size());
  for (std::size_t index = 0; index < batch.claims.size(); ++index) {
    const Claim& claim = batch.claims[index];
    const MonotonicTime now = monotonicNow();
    // Roots of other trees claim units in advance only.
    const bool borrows = batch.fromRoot && claim.units == 0;
    if (borrows && !mayLend()) {
      decisions[index] = {Verdict::kRefused, kLenderBackoff};
      continue;
    }
    decisions[index] = core_.claim(claim.tenant, claim.units, now);
    if (decisions[index].verdict == Verdict::kAskSource && mayForward) {
      waiting[index] = enqueue(core_.toMessage(claim.tenant, claim.units, now), batch.hops);
    }
  }
  ClaimReply reply;
  for (std::size_t index = 0; index < batch.claims.size(); ++index) {
    if (waiting[index]) {
      decisions[index] = co_await awaitDecision(waiting[index]);
    }
    reply.answers.push_back(core_.toAnswer(batch.claims[index], decisions[index], monotonicNow()));
  }
  co_return reply;
}

}  // namespace calicodrift::quota
