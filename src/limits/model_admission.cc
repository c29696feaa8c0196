#include "limits/model_admission.h"

#include <algorithm>
#include <limits>
#include <vector>

#include "limits/water_fill.h"

namespace calicodrift::limits {
namespace {

constexpr double kMsPerSecond = 1000.0;
/// Estimates older than this say nothing of the present wait; a request then goes and measures it.
constexpr Milliseconds kEstimateAge{5000};
constexpr Milliseconds kShortestRetryAfter{50};
constexpr Milliseconds kLongestRetryAfter{30'000};

/// Part of the shared window that a priority may fill.
constexpr std::array<double, 3> kSharedPartOf{1.0, 0.95, 0.85};
/// Part of the tenant's fair share that a priority may fill.
constexpr std::array<double, 3> kFairPartOf{1.0, 0.85, 0.6};
/// Engines let low priority wait, so its first token may take this many times longer.
constexpr std::array<double, 3> kPatienceOf{1, 1, 4};

std::size_t indexOf(Priority priority) {
  return static_cast<std::size_t>(priority);
}

}  // namespace

Result<void> ModelAdmission::admit(const Work& work, MonotonicTime now) {
  engines_ = work.engines;
  countOverdue(now);
  TenantLoad& tenant = tenants_[work.tenant];
  tenant.weight = work.weight;
  tenant.asked.add(work.tokens(), now);
  if (!work.resumed && !canMeetDeadline(work, now)) {
    return refusal(ErrorKind::kDeadlineUnreachable, work, now);
  }
  if (!work.resumed && !fits(work, tenant, now)) {
    return refusal(ErrorKind::kOverloaded, work, now);
  }
  countAdmitted(work, tenant, now);
  return boost::outcome_v2::success();
}

void ModelAdmission::onDispatched(const Work& work, WorkId id, const LatencyTarget& target,
                                  MonotonicTime now) {
  removePending(id);
  const double allowed =
      toMilliseconds(target.firstToken) + toMilliseconds(target.perPromptToken) * work.promptTokens;
  const double patience = kPatienceOf.at(indexOf(work.priority));
  const Milliseconds lateAfter(static_cast<std::int64_t>(allowed * patience));
  pending_.insert({now + lateAfter, Pending{id, now, work.engines}});
}

void ModelAdmission::onFirstToken(const Work& work, WorkId id, MonotonicTime dispatched,
                                  MonotonicTime now) {
  firstTokenMs_.at(indexOf(work.priority)).add(toMilliseconds(now - dispatched), now);
  countOverdue(now);
  if (removePending(id)) {
    addSample(false, dispatched, work.engines, now);
  }
}

void ModelAdmission::onDeadlineExceeded(const Work& work, MonotonicTime dispatched,
                                        MonotonicTime now) {
  addSample(true, dispatched, work.engines, now);
}

void ModelAdmission::addSample(bool late, MonotonicTime dispatched, std::size_t engines,
                               MonotonicTime now) {
  windowCuts_ += window_.onSample(late, dispatched, outstanding_, engines, now) ? 1 : 0;
}

void ModelAdmission::countOverdue(MonotonicTime now) {
  while (!pending_.empty() && pending_.begin()->first <= now) {
    const Pending overdue = pending_.begin()->second;
    pending_.erase(pending_.begin());
    addSample(true, overdue.dispatched, overdue.engines, now);
  }
}

bool ModelAdmission::removePending(WorkId id) {
  return std::erase_if(pending_, [id](const auto& entry) { return entry.second.id == id; }) > 0;
}

void ModelAdmission::onFinished(const Work& work, WorkId id, const Generation& generation,
                                MonotonicTime now) {
  removePending(id);
  outstanding_ = std::max(0.0, outstanding_ - work.tokens());
  if (generation.tokens == 0) {
    return;
  }
  const auto tokens = static_cast<double>(generation.tokens);
  finished_.add(work.tokens(), now);
  outputPart_.add(tokens / std::max(1.0, work.outputTokens), now);
  msPerToken_.add(toMilliseconds(generation.duration) / tokens, now);
}

bool ModelAdmission::fits(const Work& work, const TenantLoad& tenant, MonotonicTime now) {
  const double window = window_.tokens(work.engines);
  const double after = outstanding_ + work.tokens();
  const double shared = window * kSharedPart * kSharedPartOf.at(indexOf(work.priority));
  // Without an engine the request goes on and meets kNoBackend.
  if (work.engines == 0 || outstanding_ == 0 || after <= shared) {
    return true;
  }
  window_.onPressed();
  // Not `after`: a generation larger than what is left must get its turn as well.
  if (outstanding_ > window * kReservedPart) {
    return false;
  }
  return withinFairShare(work, tenant, now) || owedTurn(work, tenant);
}

bool ModelAdmission::withinFairShare(const Work& work, const TenantLoad& tenant,
                                     MonotonicTime now) const {
  std::vector<Demand> demands;
  double capacity = 0;
  for (const auto& entry : tenants_) {
    demands.push_back({entry.second.asked.perSecond(now), entry.second.weight});
    capacity += entry.second.admitted.perSecond(now);
  }
  const double share = fairLevel(std::move(demands), capacity) * tenant.weight;
  return tenant.admitted.perSecond(now) <= share * kFairPartOf.at(indexOf(work.priority));
}

bool ModelAdmission::owedTurn(const Work& work, const TenantLoad& tenant) {
  switch (work.priority) {
    case Priority::kHigh:
      return false;
    case Priority::kNormal:
      return tenant.sinceTurn.at(indexOf(work.priority)) + 1 >= kNormalTurn;
    case Priority::kLow:
      return tenant.sinceTurn.at(indexOf(work.priority)) + 1 >= kLowTurn;
  }
  return false;
}

bool ModelAdmission::canMeetDeadline(const Work& work, MonotonicTime now) const {
  const SampleAverage& firstToken = firstTokenMs_.at(indexOf(work.priority));
  if (work.deadline == MonotonicTime::max() || !firstToken.freshAt(now, kEstimateAge)) {
    return true;
  }
  const double tokens = work.outputTokens * outputPart_.value();
  const double needed = firstToken.value() + tokens * msPerToken_.value();
  return needed <= toMilliseconds(work.deadline - now);
}

Error ModelAdmission::refusal(ErrorKind kind, const Work& work, MonotonicTime now) {
  refused_.add(work.tokens(), now);
  const std::string detail = kind == ErrorKind::kDeadlineUnreachable
                                 ? "the deadline ends before an answer is expected"
                                 : "the model's engines have as much work as they can do in time";
  return Error{kind, detail, timeToDrain(work, now)};
}

Milliseconds ModelAdmission::timeToDrain(const Work& work, MonotonicTime now) const {
  const double shared = window_.tokens(work.engines) * kSharedPart;
  const double excess = std::max(0.0, outstanding_ + work.tokens() - shared);
  // Those that were refused lately come back as well.
  const double refused = refused_.perSecond(now) * toMilliseconds(kRateWindow) / kMsPerSecond;
  const double drain = std::max(finished_.perSecond(now), 1.0);
  const double wait = (excess + refused) / drain * kMsPerSecond;
  const double bounded = std::min(wait, toMilliseconds(kLongestRetryAfter));
  return std::max(kShortestRetryAfter, Milliseconds(static_cast<std::int64_t>(bounded)));
}

void ModelAdmission::countAdmitted(const Work& work, TenantLoad& tenant, MonotonicTime now) {
  outstanding_ += work.tokens();
  tenant.admitted.add(work.tokens(), now);
  for (std::size_t priority = 0; priority < kPriorities; ++priority) {
    ++tenant.sinceTurn.at(priority);
  }
  tenant.sinceTurn.at(indexOf(work.priority)) = 0;
}

}  // namespace calicodrift::limits
