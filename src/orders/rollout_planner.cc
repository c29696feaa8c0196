#include "orders/rollout_planner.h"

#include <algorithm>

namespace calicodrift::orders {
namespace {

constexpr std::size_t kPercent = 100;

/// Engines that must accept requests, of `total`: the share rounded up.
std::size_t usableFloor(std::size_t total, std::int64_t percent) {
  return (total * static_cast<std::size_t>(percent) + kPercent - 1) / kPercent;
}

bool counted(const SurveyedEngine& engine, const RolloutGoal::Model& model) {
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
  memory_.clear();
  progress_ = {};
}

std::vector<LoadOrder> RolloutPlanner::plan(const RolloutGoal& goal,
                                            const std::vector<SurveyedEngine>& engines,
                                            MonotonicTime now) {
  progress_ = {};
  forgetOthers(engines);
  for (const SurveyedEngine& engine : engines) {
    observe(engine, now);
    progress_.unreachable += engine.report ? 0 : 1;
    progress_.loading += maybeLoading(engine, now) ? 1 : 0;
  }
  const auto cap = static_cast<std::size_t>(goal.maxConcurrentLoads);
  std::size_t budget = cap - std::min(cap, progress_.loading);
  std::vector<LoadOrder> orders;
  for (const RolloutGoal::Model& model : goal.models) {
    planModel(model, engines, budget, now, orders);
  }
  return orders;
}

void RolloutPlanner::onOrderAnswered(const BackendId& engine) {
  memory_[engine].orderSettled = true;
}

void RolloutPlanner::forgetOthers(const std::vector<SurveyedEngine>& engines) {
  std::map<BackendId, Memory> kept;
  for (const SurveyedEngine& engine : engines) {
    kept[engine.id] = memory_[engine.id];
  }
  memory_ = std::move(kept);
}

void RolloutPlanner::observe(const SurveyedEngine& engine, MonotonicTime now) {
  Memory& memory = memory_[engine.id];
  if (!engine.report) {
    memory.unreachableSince = memory.unreachableSince.value_or(now);
    return;
  }
  memory.unreachableSince.reset();
  const bool shown = engine.report->loading || engine.report->weights == memory.order.weights ||
                     engine.report->incarnation != memory.order.incarnation;
  const bool expired = memory.orderedAt && now - *memory.orderedAt >= settings_.loadTimeout;
  memory.orderSettled = memory.orderSettled || shown || expired;
  memory.knownIdle = memory.orderSettled && !engine.report->loading;
}

bool RolloutPlanner::maybeLoading(const SurveyedEngine& engine, MonotonicTime now) const {
  const Memory& memory = memory_.at(engine.id);
  if (!engine.report) {
    return !memory.knownIdle && now - *memory.unreachableSince < settings_.loadTimeout;
  }
  return engine.report->loading.has_value() || !memory.orderSettled;
}

bool RolloutPlanner::mayOrder(const SurveyedEngine& engine, WeightsVersion desired,
                              MonotonicTime now) const {
  const Memory& memory = memory_.at(engine.id);
  const bool recent = memory.orderedAt && now - *memory.orderedAt < settings_.retryInterval;
  return engine.report->weights != desired && engine.report->accepting &&
         !maybeLoading(engine, now) && !recent;
}

void RolloutPlanner::planModel(const RolloutGoal::Model& model,
                               const std::vector<SurveyedEngine>& engines, std::size_t& budget,
                               MonotonicTime now, std::vector<LoadOrder>& orders) {
  std::size_t total = 0;
  std::size_t usable = 0;
  for (const SurveyedEngine& engine : engines) {
    if (counted(engine, model)) {
      ++total;
      usable += engine.report->accepting && !maybeLoading(engine, now) ? 1 : 0;
    }
  }
  const std::size_t floor = usableFloor(total, model.minUsablePercent);
  for (const SurveyedEngine& engine : engines) {
    if (!counted(engine, model)) {
      continue;
    }
    const bool current = engine.report->weights == model.weights;
    progress_.atDesired += current ? 1 : 0;
    progress_.waiting += current ? 0 : 1;
    if (budget == 0 || !mayOrder(engine, model.weights, now)) {
      continue;
    }
    if (usable <= floor) {
      ++progress_.heldForCapacity;
      continue;
    }
    --budget;
    --usable;
    Memory& memory = memory_[engine.id];
    memory.orderedAt = now;
    memory.orderSettled = false;
    memory.knownIdle = false;
    memory.order = {engine.id, engine.report->incarnation, model.weights};
    orders.push_back(memory.order);
  }
}

}  // namespace calicodrift::orders
