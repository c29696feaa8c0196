#include "limits/limiter.h"

#include <utility>

namespace calicodrift::limits {

AdmittedWork::AdmittedWork(Limiter& limiter, ModelId model, LatencyTarget target, Work work)
    : limiter_(&limiter),
      model_(std::move(model)),
      id_(++limiter.lastWork_),
      target_(target),
      work_(std::move(work)),
      dispatched_(limiter.clock_()) {}

AdmittedWork::AdmittedWork(AdmittedWork&& other) noexcept
    : limiter_(std::exchange(other.limiter_, nullptr)),
      model_(std::move(other.model_)),
      id_(other.id_),
      target_(other.target_),
      work_(std::move(other.work_)),
      dispatched_(other.dispatched_),
      firstToken_(other.firstToken_),
      tokens_(other.tokens_) {}

AdmittedWork::~AdmittedWork() {
  if (limiter_ == nullptr) {
    return;
  }
  const MonotonicTime end = now();
  const auto generating = std::chrono::duration_cast<Milliseconds>(end - firstToken_.value_or(end));
  admission().onFinished(work_, id_, {tokens_, generating}, end);
}

void AdmittedWork::onDispatched() {
  dispatched_ = now();
  if (!firstToken_) {
    admission().onDispatched(work_, id_, target_, dispatched_);
  }
}

void AdmittedWork::onFirstToken() {
  if (!firstToken_) {
    firstToken_ = now();
    admission().onFirstToken(work_, id_, dispatched_, *firstToken_);
  }
}

void AdmittedWork::onFailed(ErrorKind kind) {
  if (kind == ErrorKind::kDeadlineExceeded) {
    admission().onDeadlineExceeded(work_, dispatched_, now());
  }
}

ModelAdmission& AdmittedWork::admission() const {
  return limiter_->models_[model_];
}

MonotonicTime AdmittedWork::now() const {
  return limiter_->clock_();
}

Limiter::Limiter(peer::Transport& transport, const peer::PeerDirectory& directory, Clock clock,
                 LimiterSettings settings, LimitsMetrics& metrics)
    : clock_(clock),
      metrics_(metrics),
      rates_(transport, directory, std::move(clock), settings.lease, metrics),
      retries_(settings.retryFraction) {}

void Limiter::tick(MonotonicTime now) {
  rates_.tick(now);
  for (const auto& [id, model] : models_) {
    metrics_.setModel(id.value(), model.windowTokens(), model.outstanding(), model.windowCuts());
  }
}

Result<void> Limiter::admitRequest(const bundle::Tenant& tenant, Priority priority) {
  Result<void> withinRate = checkRate(tenant, priority);
  if (withinRate) {
    countAdmitted(tenant, priority);
  }
  return withinRate;
}

Result<AdmittedWork> Limiter::admitWork(const bundle::Tenant& tenant, const bundle::Model& model,
                                        Work work) {
  work.tenant = tenant.id;
  work.weight = static_cast<double>(tenant.weight);
  const Result<void> withinRate = checkRate(tenant, work.priority);
  if (!withinRate) {
    return withinRate.error();
  }
  const Result<void> admitted = models_[model.id].admit(work, clock_());
  if (!admitted) {
    metrics_.countRefused(tenant.id.value(), work.priority, admitted.error().kind);
    return admitted.error();
  }
  // Only now, as a request that is refused for load must not use up the tenant's rate.
  countAdmitted(tenant, work.priority);
  const LatencyTarget target{model.firstTokenTarget, model.firstTokenPerPromptToken};
  return AdmittedWork(*this, model.id, target, std::move(work));
}

Result<void> Limiter::checkRate(const bundle::Tenant& tenant, Priority priority) {
  const std::optional<Milliseconds> wait = rates_.refusal(tenant, clock_());
  if (!wait) {
    return boost::outcome_v2::success();
  }
  metrics_.countRefused(tenant.id.value(), priority, ErrorKind::kRateLimited);
  const std::string limit = std::to_string(tenant.requestsPerSecond);
  return Error{ErrorKind::kRateLimited,
               "tenant '" + tenant.id.value() + "' may send " + limit + " requests a second",
               *wait};
}

void Limiter::countAdmitted(const bundle::Tenant& tenant, Priority priority) {
  const MonotonicTime now = clock_();
  rates_.take(tenant, now);
  retries_.onRequest(now);
  metrics_.countAdmitted(tenant.id.value(), priority);
}

bool Limiter::allowRetry(ErrorKind cause, bool tokensDelivered) {
  if (!RetryBudget::counts(cause, tokensDelivered) || retries_.tryTake(clock_())) {
    return true;
  }
  metrics_.countRetryRefused();
  return false;
}

}  // namespace calicodrift::limits
