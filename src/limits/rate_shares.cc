#include "limits/rate_shares.h"

#include <algorithm>

#include "common/hashing.h"
#include "peer/codec.h"

namespace calicodrift::limits {
namespace {

constexpr Milliseconds kViewInterval{500};
/// Below this many requests a second a tenant is quiet here and its lease is left to lapse.
constexpr double kQuietDemand = 0.02;

}  // namespace

RateShares::RateShares(peer::Transport& transport, const peer::PeerDirectory& directory,
                       Clock clock, LeaseSettings settings, LimitsMetrics& metrics)
    : transport_(transport),
      directory_(directory),
      clock_(std::move(clock)),
      settings_(settings),
      metrics_(metrics) {
  transport_.setReceiver(
      peer::Channel::kLimits,
      [this](const Endpoint& from, std::string_view payload) { receive(from, payload); });
}

void RateShares::applyBundle(const bundle::Bundle& bundle) {
  limits_.clear();
  for (const bundle::Tenant& tenant : bundle.tenants) {
    if (tenant.requestsPerSecond > 0) {
      limits_[hashBytes(tenant.id.value())] = static_cast<double>(tenant.requestsPerSecond);
    }
  }
}

std::optional<Milliseconds> RateShares::refusal(const bundle::Tenant& tenant, MonotonicTime now) {
  if (tenant.requestsPerSecond == 0) {
    return std::nullopt;
  }
  refreshView(now);
  Lease& lease = leaseOf(tenant.id);
  lease.demand.add(1, now);
  updateBucket(lease, now);
  if (wantsRenewal(lease, now)) {
    sendRequest(lease, now);
    updateBucket(lease, now);
  }
  const Milliseconds wait = lease.bucket.waitForOne(now);
  return wait.count() == 0 ? std::nullopt : std::optional<Milliseconds>(wait);
}

void RateShares::take(const bundle::Tenant& tenant, MonotonicTime now) {
  if (tenant.requestsPerSecond > 0) {
    leaseOf(tenant.id).bucket.tryTake(now);
  }
}

void RateShares::tick(MonotonicTime now) {
  refreshView(now);
  for (auto& entry : leases_) {
    Lease& lease = entry.second;
    if (wantsRenewal(lease, now)) {
      sendRequest(lease, now);
    }
    updateBucket(lease, now);
    metrics_.setShare(entry.first.value(), lease.bucket.rate());
  }
  std::erase_if(owned_, [&](const auto& entry) { return !view_.ownerOf(entry.first).self; });
}

double RateShares::rateOf(const TenantId& tenant, MonotonicTime now) {
  refreshView(now);
  Lease& lease = leaseOf(tenant);
  updateBucket(lease, now);
  return lease.bucket.rate();
}

bool RateShares::holdsLease(const TenantId& tenant, MonotonicTime now) const {
  const auto found = leases_.find(tenant);
  return found != leases_.end() && found->second.heldAt(now);
}

RateShares::Lease& RateShares::leaseOf(const TenantId& tenant) {
  const auto found = leases_.find(tenant);
  if (found != leases_.end()) {
    return found->second;
  }
  const std::uint64_t hash = hashBytes(tenant.value());
  Lease& lease = leases_.try_emplace(tenant, hash).first->second;
  leaseByHash_[hash] = &lease;
  return lease;
}

void RateShares::updateBucket(Lease& lease, MonotonicTime now) {
  const auto nodes = static_cast<double>(std::max(settings_.fleetNodes, view_.aliveNodes()));
  const double limit = limitOf(lease.tenant);
  lease.bucket.setRate(lease.heldAt(now) ? std::min(lease.rate, limit) : limit / nodes, now);
}

double RateShares::limitOf(std::uint64_t tenant) const {
  const auto found = limits_.find(tenant);
  return found == limits_.end() ? 0 : found->second;
}

void RateShares::refreshView(MonotonicTime now) {
  if (viewKnown_ && now - viewRead_ < kViewInterval) {
    return;
  }
  view_.refresh(directory_, now);
  viewRead_ = now;
  if (!viewKnown_) {
    requestBudget_.setRate(kRequestsPerSecond, now);
  }
  viewKnown_ = true;
}

bool RateShares::wantsRenewal(const Lease& lease, MonotonicTime now) const {
  const bool unanswered = lease.number > 0 && now - lease.sent < settings_.renewal();
  return now >= lease.renewAt && !unanswered && lease.demand.perSecond(now) > kQuietDemand;
}

void RateShares::sendRequest(Lease& lease, MonotonicTime now) {
  const OwnerView::Owner& owner = view_.ownerOf(lease.tenant);
  if (!owner.self && !requestBudget_.tryTake(now)) {
    return;
  }
  ShareRequest request;
  request.tenant = lease.tenant;
  request.node = hashBytes(directory_.self().id.value());
  request.incarnation = directory_.self().incarnation.value();
  request.number = ++lease.number;
  request.demand = static_cast<float>(lease.demand.perSecond(now));
  if (lease.heldAt(now)) {
    request.heldRate = static_cast<float>(lease.rate);
    const auto left = std::chrono::duration_cast<Milliseconds>(lease.expiry - now);
    request.heldMs = static_cast<std::uint32_t>(left.count());
  }
  lease.sent = now;
  if (!owner.self) {
    transport_.send(owner.endpoint, peer::Channel::kLimits, peer::encode(LeaseMessage(request)));
    return;
  }
  if (const std::optional<ShareGrant> grant = onRequest(request, now)) {
    onGrant(*grant, now);
  }
}

void RateShares::receive(const Endpoint& from, std::string_view payload) {
  const Result<LeaseMessage> message = peer::decode<LeaseMessage>(payload);
  if (!message) {
    return;
  }
  const MonotonicTime now = clock_();
  refreshView(now);
  if (const auto* grant = std::get_if<ShareGrant>(&message.value())) {
    onGrant(*grant, now);
    return;
  }
  const std::optional<ShareGrant> answer = onRequest(std::get<ShareRequest>(message.value()), now);
  if (answer) {
    transport_.send(from, peer::Channel::kLimits, peer::encode(LeaseMessage(*answer)));
  }
}

std::optional<ShareGrant> RateShares::onRequest(const ShareRequest& request, MonotonicTime now) {
  const double limit = limitOf(request.tenant);
  if (limit == 0 || !view_.ownerOf(request.tenant).self) {
    return std::nullopt;
  }
  // Nobody else has been the owner since the fleet last changed, so shares of a predecessor are
  // older than that.
  const MonotonicTime grantFrom = view_.changed() + settings_.term + settings_.viewSkew();
  TenantShares& shares = owned_.try_emplace(request.tenant, grantFrom).first->second;
  const std::optional<ShareGrant> grant =
      shares.grant(request, limit * visiblePart(), renewal(), now);
  if (grant) {
    metrics_.countGrant();
  }
  return grant;
}

Milliseconds RateShares::renewal() const {
  std::size_t holders = 0;
  for (const auto& entry : owned_) {
    holders += entry.second.holders();
  }
  constexpr double kMsPerSecond = 1000.0;
  const double spread = static_cast<double>(holders) / kRenewalsPerSecond * kMsPerSecond;
  return std::max(settings_.renewal(), Milliseconds(static_cast<std::int64_t>(spread)));
}

double RateShares::visiblePart() const {
  const std::size_t alive = view_.aliveNodes();
  if (alive * 2 > settings_.fleetNodes) {
    return 1;
  }
  return static_cast<double>(alive) / static_cast<double>(settings_.fleetNodes);
}

void RateShares::onGrant(const ShareGrant& grant, MonotonicTime now) {
  const auto found = leaseByHash_.find(grant.tenant);
  if (found == leaseByHash_.end() || grant.number != found->second->number) {
    // Late: another request is on its way, and its grant will count.
    return;
  }
  Lease& lease = *found->second;
  lease.granted = !grant.waiting;
  lease.rate = grant.rate;
  lease.expiry = lease.sent + Milliseconds(grant.termMs);
  lease.renewAt = lease.sent + Milliseconds(grant.renewMs);
  updateBucket(lease, now);
}

}  // namespace calicodrift::limits
