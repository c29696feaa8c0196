#include "service_rollout/plan.h"

#include <algorithm>

namespace calicodrift::service_rollout {
namespace {

/// Maximum time before the deadline for which the candidate gets all traffic. Streams on the stable
/// version last seconds, and a candidate that becomes bad late should do so while it gets only the
/// canary share.
constexpr Milliseconds kMaxShiftBudget{3000};
/// Share of the exposure slack that a shift may use. The rest covers the initial credits of the
/// nodes' budgets, whose sum has a standard deviation of sqrt(nodes / 12) requests: 18 of 50 with
/// 3,800 nodes.
constexpr double kShiftSlackShare = 0.6;
/// A shift ends after this time even if requests still run on the stable version. One missed
/// obligation costs about as much as a second of a service's answers, and a hanging request would
/// otherwise block the order forever.
constexpr Milliseconds kMaxDrainTime{5000};
/// A version counts as drained once no requests have run on it for this long: two load reports,
/// which nodes exchange at least every 250 ms.
constexpr Milliseconds kDrainConfirmationTime{500};
/// A shift ends no earlier than this time before the deadline, as evaluating until then costs no
/// further exposure. Two writes take 8 ms and the record takes 250 ms to reach the holder's view if
/// the store is healthy; the rest allows for one repeated write.
constexpr Milliseconds kCompletionLead{1000};
/// Minimum duration of a shift. Defects that show only under all traffic show only now, while the
/// stable version can still take over: with 200 requests a second of which 1 in 2 is bad, the 50th
/// bad answer comes within 0.5 s, and is judged and propagated within 0.6 s. Promoting a bad
/// version breaks a guarantee, while a sound version that ends up to 1 s late costs one obligation.
constexpr Milliseconds kMinShiftTime{1000};
/// Maximum duration of a shift during which there is evidence against the candidate.
constexpr Milliseconds kMaxUnsoundShiftTime{10'000};
/// Usable servers that the candidate needs for all traffic, as a share of the stable version's
/// servers. With fewer, the shift is delayed, by at most kMaxDrainTime beyond the deadline. Servers
/// at half of their capacity can carry all traffic on half of their number, but no fewer.
constexpr double kMinCapacityShare = 0.5;

PlanAction noAction(std::string reason = "") {
  PlanAction action;
  action.reason = std::move(reason);
  return action;
}

PlanAction writeRecord(ServiceRecord record, std::string reason) {
  PlanAction action;
  action.step = PlanStep::kWriteRecord;
  action.record = std::move(record);
  action.reason = std::move(reason);
  return action;
}

PlanAction writeState(OrderState state, std::string reason) {
  PlanAction action;
  action.step = PlanStep::kWriteState;
  action.state = state;
  action.reason = std::move(reason);
  return action;
}

SoftwareVersion stableOf(const PlanInput& input) {
  return input.record ? input.record->stable : input.firstSeen;
}

bool isInProgress(const PlanInput& input) {
  return input.record && input.record->phase != Phase::kSteady;
}

/// Whether the order, whose target the record names, is the one that the record accepted. If it has
/// no state at a later revision, its object was written or recreated since.
bool isSameOrder(const Order& order, const ServiceRecord& record) {
  return order.hasState() || order.revision == record.order;
}

/// Whether the record shows that this order is in progress.
bool isAccepted(const PlanInput& input) {
  return isInProgress(input) && input.record->candidate == input.order->target &&
         isSameOrder(*input.order, *input.record);
}

/// Whether the record shows how this order ended.
bool hasOutcome(const PlanInput& input) {
  return input.record && input.record->phase == Phase::kSteady &&
         input.record->outcome != OrderState::kNew &&
         input.record->outcomeTarget == input.order->target &&
         isSameOrder(*input.order, *input.record);
}

/// Whether observations and verdict belong to the record's order.
bool hasObservations(const PlanInput& input) {
  return input.record && input.observations.order == keyOf(*input.record);
}

bool isRejected(const PlanInput& input) {
  return hasObservations(input) && (input.verdict == Verdict::kBad || input.observations.rejected);
}

bool isSound(const PlanInput& input) {
  return hasObservations(input) && input.verdict == Verdict::kSound && !input.observations.rejected;
}

/// Time until the deadline; negative past it.
Milliseconds timeLeft(const PlanInput& input) {
  return input.order->duration -
         (hasObservations(input) ? input.observations.age : Milliseconds(0));
}

/// Whether no requests run any more on the versions that may stop at the end, or the wait has timed
/// out.
bool isDrained(const PlanInput& input) {
  return input.drainedFor >= kDrainConfirmationTime || input.phaseAge >= kMaxDrainTime;
}

/// Writes the order's final state. An older view of the records may show a stable version or an
/// outcome from before the order, so the view must be at least as new as the order.
PlanAction writeFinalState(const PlanInput& input, OrderState state, std::string reason) {
  if (input.records.revision < input.order->revision) {
    return noAction("the view of the records is older than the order");
  }
  return writeState(state, std::move(reason));
}

std::string describeFigures(const PlanInput& input) {
  return std::to_string(timeLeft(input).count()) + " ms left, " +
         std::to_string(input.observations.exposed) + " of " +
         std::to_string(input.observations.reached) + " requests to the candidate" +
         (input.evidence.empty() ? "" : ", " + input.evidence);
}

/// Ends the order in progress without an outcome: the stable version gets all traffic again. The
/// record keeps the revision of the view that showed the end, so that no holder with an older view
/// of the orders resumes the order.
PlanAction endWithoutOutcome(const PlanInput& input, std::string reason) {
  ServiceRecord record = *input.record;
  record.phase = Phase::kSteady;
  record.candidate = SoftwareVersion();
  record.order = input.orders.revision;
  record.outcome = OrderState::kNew;
  record.outcomeTarget = SoftwareVersion();
  return writeRecord(std::move(record), std::move(reason));
}

PlanAction endWithOutcome(const PlanInput& input, OrderState outcome, std::string reason) {
  ServiceRecord record = *input.record;
  record.phase = Phase::kSteady;
  record.outcome = outcome;
  record.outcomeTarget = record.candidate;
  if (outcome == OrderState::kCompleted) {
    record.stable = record.candidate;
  }
  record.candidate = SoftwareVersion();
  return writeRecord(std::move(record), std::move(reason));
}

PlanAction planWithoutOrder(const PlanInput& input, const std::string& reason) {
  return isInProgress(input) ? endWithoutOutcome(input, reason) : noAction(reason);
}

/// Plans for an order whose target is the stable version.
PlanAction planForStableTarget(const PlanInput& input) {
  if (isInProgress(input)) {
    return endWithoutOutcome(input, "the order's target is the stable version now");
  }
  if (input.order->ended()) {
    return noAction();
  }
  const bool endedWithoutOutcome =
      input.record && input.record->order.value() != 0 && input.record->outcome == OrderState::kNew;
  if (endedWithoutOutcome && !isDrained(input)) {
    return noAction("waiting for requests on the candidate version");
  }
  return writeFinalState(input, OrderState::kCompleted, "the service runs on the target version");
}

/// Plans for an order that has its final state, which is only written after the record.
PlanAction planAfterEnd(const PlanInput& input) {
  if (!isInProgress(input)) {
    return noAction();
  }
  if (input.record->candidate != input.order->target) {
    return endWithoutOutcome(input, "the order has already ended for its target");
  }
  return endWithOutcome(input, input.order->state, "the order has ended by its state");
}

PlanAction acceptOrder(const PlanInput& input) {
  ServiceRecord record = input.record.value_or(ServiceRecord{});
  record.service = input.order->service;
  record.stable = stableOf(input);
  record.candidate = input.order->target;
  record.phase = Phase::kBaking;
  record.order = input.order->revision;
  record.outcome = OrderState::kNew;
  record.outcomeTarget = SoftwareVersion();
  return writeRecord(std::move(record), "a new order");
}

bool tooFewServers(const PlanInput& input) {
  const double needed = kMinCapacityShare * static_cast<double>(input.stableServers);
  return static_cast<double>(input.candidateServers) < needed;
}

PlanAction planBaking(const PlanInput& input, const PlanSettings& settings) {
  if (input.candidateServers == 0) {
    return noAction("no server of the target version is usable");
  }
  const Milliseconds left = timeLeft(input);
  if (!isSound(input)) {
    return noAction(left > Milliseconds(0) ? "too few answers of the target version"
                                           : "undecided past the deadline");
  }
  const Milliseconds budget = shiftBudget(input, settings);
  if (left > budget) {
    return noAction("sound so far, shifting begins near the deadline");
  }
  if (tooFewServers(input) && left > -kMaxDrainTime) {
    return noAction("too few servers of the target version to carry all traffic");
  }
  ServiceRecord record = *input.record;
  record.phase = Phase::kShifting;
  return writeRecord(std::move(record), "sound, exposure left for " +
                                            std::to_string(budget.count()) + " ms, " +
                                            describeFigures(input));
}

PlanAction planShifting(const PlanInput& input) {
  if (input.candidateServers == 0) {
    return noAction("no server of the target version is usable");
  }
  const bool tooEarly = timeLeft(input) > kCompletionLead && input.phaseAge < kMaxShiftBudget;
  if (tooEarly || input.phaseAge < kMinShiftTime) {
    return noAction("still evaluating the target version under all traffic");
  }
  if (tooFewServers(input) && input.phaseAge < kMaxUnsoundShiftTime) {
    return noAction("too few servers of the target version to carry all traffic");
  }
  const bool hasDoubt =
      hasObservations(input) && !isSound(input) && input.phaseAge < kMaxUnsoundShiftTime;
  if (hasDoubt) {
    return noAction("there is evidence against the target version");
  }
  if (!isDrained(input)) {
    return noAction("waiting for requests on the stable version");
  }
  return endWithOutcome(input, OrderState::kCompleted,
                        std::to_string(input.stableInFlight) + " requests on the stable version, " +
                            describeFigures(input));
}

PlanAction planInProgress(const PlanInput& input, const PlanSettings& settings) {
  if (isRejected(input)) {
    return endWithOutcome(input, OrderState::kRolledBack, "bad, " + describeFigures(input));
  }
  if (!input.order->hasState()) {
    return writeState(OrderState::kRunning, "the order was accepted");
  }
  return input.record->phase == Phase::kBaking ? planBaking(input, settings) : planShifting(input);
}

PlanAction planWithOrder(const PlanInput& input, const PlanSettings& settings) {
  const SoftwareVersion stable = stableOf(input);
  if (stable.value().empty()) {
    return noAction("no server of the service has been listed");
  }
  if (input.order->target == stable) {
    return planForStableTarget(input);
  }
  if (input.order->ended()) {
    return planAfterEnd(input);
  }
  if (hasOutcome(input)) {
    return writeFinalState(input, input.record->outcome, "the record has the outcome");
  }
  return isAccepted(input) ? planInProgress(input, settings) : acceptOrder(input);
}

}  // namespace

Milliseconds shiftBudget(const PlanInput& input, const PlanSettings& settings) {
  const double allowed = settings.exposureShare * static_cast<double>(input.observations.reached) +
                         kShiftSlackShare * settings.exposureSlack;
  const double left = allowed - static_cast<double>(input.observations.exposed);
  const bool rateUnknown = input.requestsPerSecond <= 0 && input.observations.reached > 0;
  if (left <= 0 || rateUnknown) {
    return Milliseconds(0);
  }
  // Each request adds its share to the allowance while the allowance is used.
  const double spentPerSecond = input.requestsPerSecond * (1 - settings.exposureShare);
  const double longest = std::chrono::duration<double>(kMaxShiftBudget).count();
  const double seconds = left >= longest * spentPerSecond ? longest : left / spentPerSecond;
  return std::chrono::duration_cast<Milliseconds>(std::chrono::duration<double>(seconds));
}

PlanAction nextAction(const PlanInput& input, const PlanSettings& settings) {
  const bool ordersOutdated = input.record && input.orders.revision < input.record->order;
  if (ordersOutdated) {
    return noAction("the view of the orders is older than the record");
  }
  if (input.record && input.recordUnreadable) {
    // Nodes that start now must be able to read the record. Otherwise the condition of later writes
    // would fail.
    return writeRecord(*input.record, "the record in the store can't be read");
  }
  if (!input.order || input.order->withdrawn) {
    return planWithoutOrder(input, isInProgress(input) ? "the order was withdrawn" : "");
  }
  const Result<void> valid = check(*input.order);
  if (!valid) {
    return planWithoutOrder(input, valid.error().detail);
  }
  return planWithOrder(input, settings);
}

}  // namespace calicodrift::service_rollout
