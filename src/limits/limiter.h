#pragma once

#include <map>
#include <optional>

#include "bundle/bundle.h"
#include "limits/metrics.h"
#include "limits/model_admission.h"
#include "limits/rate_shares.h"
#include "limits/retry_budget.h"

/// Admission, tenant limits, fairness under overload and the retry budget. State machines without
/// I/O; refusals come at once, never after a wait.
namespace calicodrift::limits {

struct LimiterSettings {
  LeaseSettings lease;
  /// Retries that one request earns.
  double retryFraction = 0.1;
};

class Limiter;

/// An admitted generation. It counts as outstanding until it is destroyed.
class AdmittedWork {
 public:
  AdmittedWork(Limiter& limiter, ModelId model, LatencyTarget target, Work work);
  ~AdmittedWork();
  AdmittedWork(AdmittedWork&& other) noexcept;
  AdmittedWork& operator=(AdmittedWork&&) = delete;
  AdmittedWork(const AdmittedWork&) = delete;
  AdmittedWork& operator=(const AdmittedWork&) = delete;

  /// The work leaves for an engine; again for each attempt.
  void onDispatched();
  void onFirstToken();
  /// @param tokens generated in all.
  void onCompleted(std::size_t tokens) { tokens_ = tokens; }
  /// It ended without an answer.
  void onFailed(ErrorKind kind);

 private:
  ModelAdmission& admission() const;
  MonotonicTime now() const;

  Limiter* limiter_;
  ModelId model_;
  WorkId id_;
  LatencyTarget target_;
  Work work_;
  MonotonicTime dispatched_;
  std::optional<MonotonicTime> firstToken_;
  std::size_t tokens_ = 0;
};

/// Everything that one router node limits.
class Limiter {
 public:
  Limiter(peer::Transport& transport, const peer::PeerDirectory& directory, Clock clock,
          LimiterSettings settings, LimitsMetrics& metrics);

  void applyBundle(const bundle::Bundle& bundle) { rates_.applyBundle(bundle); }
  void tick(MonotonicTime now);

  /// Counts one request of the tenant. Fails with kRateLimited.
  Result<void> admitRequest(const bundle::Tenant& tenant, Priority priority);
  /// Counts one generation. Fails with kRateLimited, kOverloaded or kDeadlineUnreachable.
  Result<AdmittedWork> admitWork(const bundle::Tenant& tenant, const bundle::Model& model,
                                 Work work);
  /// Whether a retry after `cause` is within the budget.
  bool allowRetry(ErrorKind cause, bool tokensDelivered);

  RateShares& rates() { return rates_; }
  const std::map<ModelId, ModelAdmission>& models() const { return models_; }

 private:
  friend class AdmittedWork;

  Result<void> checkRate(const bundle::Tenant& tenant, Priority priority);
  void countAdmitted(const bundle::Tenant& tenant, Priority priority);

  Clock clock_;
  LimitsMetrics& metrics_;
  RateShares rates_;
  RetryBudget retries_;
  std::map<ModelId, ModelAdmission> models_;
  std::uint64_t lastWork_ = 0;
};

}  // namespace calicodrift::limits
