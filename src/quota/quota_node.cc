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

/// As deep as the tree may be; a batch that has come further goes in a circle.
constexpr std::uint32_t kMostHops = 12;
/// Roots that are asked where the parent is silent.
constexpr std::size_t kMostRootsAsked = 2;
/// A silent source is asked again after the time in which the tree finds another one.
constexpr Milliseconds kSilencePause{300};
/// The same for a lender: a region that is cut off stays so for longer.
constexpr Milliseconds kLenderSilencePause{2000};
/// Told where a claim got no decision.
constexpr Milliseconds kUndecidedWait{250};

}  // namespace

QuotaNode::QuotaNode(QuotaNodeContext context, QuotaBounds bounds, QuotaMetrics& metrics,
                     std::uint64_t seed)
    : context_(std::move(context)), core_(bounds), metrics_(metrics), random_(seed) {}

void QuotaNode::start() {
  asio::co_spawn(context_.executor, pulse(), asio::detached);
  if (context_.lenders) {
    asio::co_spawn(context_.executor, borrow(), asio::detached);
  }
}

awaitable<void> QuotaNode::pulse() {
  asio::steady_timer timer(context_.executor);
  for (;;) {
    refreshPlace(monotonicNow());
    timer.expires_after(QuotaCore::kPulse);
    co_await timer.async_wait(asio::use_awaitable);
  }
}

awaitable<void> QuotaNode::borrow() {
  asio::steady_timer timer(context_.executor);
  for (;;) {
    timer.expires_after(kBorrowInterval);
    co_await timer.async_wait(asio::use_awaitable);
    if (core_.toBorrow(1, monotonicNow()).empty()) {
      continue;
    }
    const std::vector<Endpoint> known = co_await context_.lenders();
    const std::vector<Endpoint> lenders = idleLenders(known);
    const std::vector<Claim> claims = core_.toBorrow(lenders.size(), monotonicNow());
    for (const Endpoint& lender : lenders) {
      if (!claims.empty() && asked_.insert(lender).second) {
        asio::co_spawn(context_.executor, borrowFrom(lender, claims), asio::detached);
      }
    }
  }
}

std::vector<Endpoint> QuotaNode::idleLenders(const std::vector<Endpoint>& lenders) const {
  const MonotonicTime now = monotonicNow();
  std::vector<Endpoint> idle;
  for (const Endpoint& lender : lenders) {
    const auto silent = silentUntil_.find(lender);
    const bool answers = silent == silentUntil_.end() || now >= silent->second;
    if (answers && !asked_.contains(lender)) {
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
  asked_.erase(lender);
  const bool answered = reply && reply.value().answers.size() == claims.size();
  metrics_.countBatch(answered);
  if (!answered) {
    silentUntil_[lender] = monotonicNow() + kLenderSilencePause;
    co_return;
  }
  silentUntil_.erase(lender);
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
  refreshPlace(begin);
  Decision decision = core_.claim(key, units, begin);
  if (decision.verdict == Verdict::kAsk) {
    decision = co_await decisionOf(enqueue(core_.toMessage(key, units, begin), 0));
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
  if (TenantAccount* account = core_.accountOf(tenant)) {
    const auto whole = [](double units) { return std::to_string(std::llround(units)); };
    const auto age = std::chrono::duration_cast<Milliseconds>(now - answeredAt_);
    verdict.facts =
        "limit " + whole(account->limit().unitsPerSecond) + "/s, asked here " +
        whole(account->demandAt(now)) + "/s, granted here " + whole(account->grantedAt(now)) +
        "/s, held " + whole(account->heldAt(now)) + ", last answer " +
        (answeredAt_ == MonotonicTime{} ? "never" : std::to_string(age.count()) + " ms ago");
  }
  return verdict;
}

void QuotaNode::giveBack(const TenantId& tenant, double units) {
  core_.giveBack(keyOf(tenant), units, monotonicNow());
}

std::shared_ptr<QuotaNode::Waiting> QuotaNode::enqueue(const Claim& claim, std::uint32_t hops) {
  auto waiting = std::make_shared<Waiting>(context_.executor, claim);
  waiting->hops = hops;
  waiting->decided.expires_at(asio::steady_timer::time_point::max());
  pending_.push_back(waiting);
  if (!std::exchange(sending_, true)) {
    asio::co_spawn(context_.executor, sendBatches(), asio::detached);
  }
  return waiting;
}

awaitable<Decision> QuotaNode::decisionOf(std::shared_ptr<Waiting> waiting) {
  if (!waiting->decision) {
    co_await waiting->decided.async_wait(asio::as_tuple(asio::use_awaitable));
  }
  co_return waiting->decision.value_or(Decision{Verdict::kRefused, kUndecidedWait});
}

awaitable<void> QuotaNode::sendBatches() {
  while (!pending_.empty()) {
    co_await settle(std::exchange(pending_, {}));
  }
  sending_ = false;
}

awaitable<void> QuotaNode::settle(WaitingList batch) {
  ClaimBatch message;
  message.fromRoot = core_.place().place == Place::kRoot;
  for (const auto& waiting : batch) {
    message.claims.push_back(waiting->claim);
    message.hops = std::max(message.hops, waiting->hops + 1);
  }
  const MonotonicTime sent = monotonicNow();
  const Result<ClaimReply> reply = co_await ask(std::move(message));
  const MonotonicTime now = monotonicNow();
  const bool answered = reply && reply.value().answers.size() == batch.size();
  metrics_.countBatch(answered);
  if (answered) {
    answeredAt_ = now;
  }
  for (std::size_t index = 0; index < batch.size(); ++index) {
    Waiting& waiting = *batch[index];
    if (answered) {
      waiting.decision = core_.onAnswer(waiting.claim, reply.value().answers[index], sent, now);
    } else {
      metrics_.countUnreached();
      waiting.decision = core_.onSilence(waiting.claim.tenant, waiting.claim.units, now);
    }
    waiting.decided.cancel();
  }
}

awaitable<Result<ClaimReply>> QuotaNode::ask(ClaimBatch message) {
  for (const Endpoint& source : sources()) {
    Result<ClaimReply> reply = co_await peer::callPeer<ClaimReply>(
        context_.client, source, kClaimPath, message, kSourceTimeout, kSourceTimeout);
    if (reply) {
      silentUntil_.erase(source);
      co_return reply;
    }
    silentUntil_[source] = monotonicNow() + kSilencePause;
  }
  co_return fail(ErrorKind::kNoBackend, "no other node answers for limits");
}

std::vector<Endpoint> QuotaNode::sources() const {
  const MonotonicTime now = monotonicNow();
  std::vector<Endpoint> found;
  const auto add = [this, now, &found](const Endpoint& source) {
    const auto silent = silentUntil_.find(source);
    const bool usable = silent == silentUntil_.end() || now >= silent->second;
    if (usable && std::find(found.begin(), found.end(), source) == found.end()) {
      found.push_back(source);
    }
  };
  if (const std::optional<Endpoint> parent = context_.parent()) {
    add(*parent);
  }
  std::size_t asked = 0;
  for (const Endpoint& root : context_.roots()) {
    if (asked++ < kMostRootsAsked) {
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
  return !context_.viewAge || context_.viewAge() <= context_.longestLendingAge;
}

awaitable<ClaimReply> QuotaNode::answer(ClaimBatch batch) {
  refreshPlace(monotonicNow());
  const bool mayAsk = !batch.fromRoot && batch.hops <= kMostHops;
  std::vector<std::shared_ptr<Waiting>> waiting(batch.claims.size());
  std::vector<Decision> decisions(batch.claims.size());
  for (std::size_t index = 0; index < batch.claims.size(); ++index) {
    const Claim& claim = batch.claims[index];
    const MonotonicTime now = monotonicNow();
    // A root of another tree asks for units ahead only.
    const bool borrows = batch.fromRoot && claim.units == 0;
    if (borrows && !mayLend()) {
      decisions[index] = {Verdict::kRefused, kLenderSilencePause};
      continue;
    }
    decisions[index] = core_.claim(claim.tenant, claim.units, now);
    if (decisions[index].verdict == Verdict::kAsk && mayAsk) {
      waiting[index] = enqueue(core_.toMessage(claim.tenant, claim.units, now), batch.hops);
    }
  }
  ClaimReply reply;
  for (std::size_t index = 0; index < batch.claims.size(); ++index) {
    if (waiting[index]) {
      decisions[index] = co_await decisionOf(waiting[index]);
    }
    reply.answers.push_back(core_.toAnswer(batch.claims[index], decisions[index], monotonicNow()));
  }
  co_return reply;
}

}  // namespace calicodrift::quota
