#include "orders/rollout_planner.h"

#include <algorithm>

namespace calicodrift::orders {
namespace {

constexpr std::size_t kPercent = 100;

/// Number of engines out of `total` that must accept requests: the percentage, rounded up.
std::size_t minUsableEngines(std::size_t total, std::int64_t percent) {
  return (total * static_cast<std::size_t>(percent) + kPercent - 1) / kPercent;
}

bool countsAsCapacity(const SurveyedEngine& engine, const RolloutGoal::Model& model) {
  return engine.model == model.id && !engine.leaving && engine.report.has_value();
}

}  // namespace

RolloutGoal goalOf(const bundle::Bundle& bundle) {
  RolloutGoal goal;
  goal.maxConcurrentLoads = bundle.maxConcurrentLoads;
  for (const bundle::Model& model : bundle.models) {
    goal.models.push_back({model.id, model.weights, model.minUsablePercent});
  }
  return goal;
}

void RolloutPlanner::beginTenure() {
  engineStates_.clear();
  progress_ = {};
}

std::vector<LoadOrder> RolloutPlanner::plan(const RolloutGoal& goal,
                                            const std::vector<SurveyedEngine>& engines,
                                            MonotonicTime now) {
  progress_ = {};
  removeOtherEngines(engines);
  for (const SurveyedEngine& engine : engines) {
    observe(engine, now);
    progress_.unreachable += engine.report ? 0 : 1;
    progress_.loading += mayBeLoading(engine, now) ? 1 : 0;
  }
  const auto maxLoads = static_cast<std::size_t>(goal.maxConcurrentLoads);
  std::size_t budget = maxLoads - std::min(maxLoads, progress_.loading);
  std::vector<LoadOrder> orders;
  for (const RolloutGoal::Model& model : goal.models) {
    planModel(model, engines, budget, now, orders);
  }
  return orders;
}

void RolloutPlanner::onOrderAnswered(const BackendId& engine) {
  engineStates_[engine].orderResolved = true;
}

void RolloutPlanner::removeOtherEngines(const std::vector<SurveyedEngine>& engines) {
  std::map<BackendId, EngineState> remaining;
  for (const SurveyedEngine& engine : engines) {
    remaining[engine.id] = engineStates_[engine.id];
  }
  engineStates_ = std::move(remaining);
}

void RolloutPlanner::observe(const SurveyedEngine& engine, MonotonicTime now) {
  EngineState& state = engineStates_[engine.id];
  if (!engine.report) {
    state.unreachableSince = state.unreachableSince.value_or(now);
    return;
  }
  state.unreachableSince.reset();
  const bool resultReported = engine.report->loading ||
                              engine.report->weights == state.order.weights ||
                              engine.report->incarnation != state.order.incarnation;
  const bool expired = state.orderedAt && now - *state.orderedAt >= settings_.loadTimeout;
  state.orderResolved = state.orderResolved || resultReported || expired;
  state.knownIdle = state.orderResolved && !engine.report->loading;
}

bool RolloutPlanner::mayBeLoading(const SurveyedEngine& engine, MonotonicTime now) const {
  const EngineState& state = engineStates_.at(engine.id);
  if (!engine.report) {
    return !state.knownIdle && now - *state.unreachableSince < settings_.loadTimeout;
  }
  return engine.report->loading.has_value() || !state.orderResolved;
}

bool RolloutPlanner::mayOrder(const SurveyedEngine& engine, WeightsVersion desired,
                              MonotonicTime now) const {
  const EngineState& state = engineStates_.at(engine.id);
  const bool recent = state.orderedAt && now - *state.orderedAt < settings_.retryInterval;
  return engine.report->weights != desired && engine.report->accepting &&
         !mayBeLoading(engine, now) && !recent;
}

void RolloutPlanner::planModel(const RolloutGoal::Model& model,
                               const std::vector<SurveyedEngine>& engines, std::size_t& budget,
                               MonotonicTime now, std::vector<LoadOrder>& orders) {
  std::size_t total = 0;
  std::size_t usable = 0;
  for (const SurveyedEngine& engine : engines) {
    if (countsAsCapacity(engine, model)) {
      ++total;
      usable += engine.report->accepting && !mayBeLoading(engine, now) ? 1 : 0;
    }
  }
  const std::size_t minUsable = minUsableEngines(total, model.minUsablePercent);
  for (const SurveyedEngine& engine : engines) {
    if (!countsAsCapacity(engine, model)) {
      continue;
    }
    const bool current = engine.report->weights == model.weights;
    progress_.atDesired += current ? 1 : 0;
    progress_.waiting += current ? 0 : 1;
    if (budget == 0 || !mayOrder(engine, model.weights, now)) {
      continue;
    }
    if (usable <= minUsable) {
      ++progress_.heldForCapacity;
      continue;
    }
    --budget;
    --usable;
    EngineState& state = engineStates_[engine.id];
    state.orderedAt = now;
    state.orderResolved = false;
    state.knownIdle = false;
    state.order = {engine.id, engine.report->incarnation, model.weights};
    orders.push_back(state.order);
  }
}

}  // namespace calicodrift::orders
