#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "bundle/bundle.h"
#include "common/clock.h"
#include "orders/engine_order.h"

namespace calicodrift::orders {

struct RolloutSettings {
  /// An engine that can't be asked, or whose answer to a load order was lost, counts as loading for
  /// so long; after that it no longer holds up the others.
  Milliseconds loadTimeout{10000};
  /// Pause before the same engine is ordered to load again after a load that failed.
  Milliseconds retryInterval{2000};
};

/// One engine as the lease holder's survey found it.
struct SurveyedEngine {
  BackendId id;
  ModelId model;
  /// Leaving by the machine list: it gets no order and isn't counted as capacity.
  bool leaving = false;
  /// Empty where the engine didn't answer.
  std::optional<EngineReport> report;
};

/// What the fleet's engines should hold, and how fast they get there.
struct RolloutGoal {
  struct Model {
    ModelId id;
    WeightsVersion weights;
    /// Share of the model's engines that must accept requests meanwhile.
    std::int64_t minUsablePercent = 0;
  };
  std::int64_t maxConcurrentLoads = 1;
  std::vector<Model> models;
};

RolloutGoal goalOf(const bundle::Bundle& bundle);

struct LoadOrder {
  BackendId engine;
  Incarnation incarnation;
  WeightsVersion weights;
};

/// How far the weights of all models are from what the bundle asks for.
struct RolloutProgress {
  std::size_t atDesired = 0;
  std::size_t waiting = 0;
  std::size_t loading = 0;
  std::size_t unreachable = 0;
  /// Engines that could load now if the capacity rule allowed it.
  std::size_t heldForCapacity = 0;
};

/// Decides which engines load other weights now. Everything it needs is read from the bundle and
/// the engines, so that the next lease holder goes on where the last one stopped.
///
/// Invariants:
/// - At most `max_concurrent_loads` engines load at once, over all models. Engines that may be
///   loading without the holder's knowledge (unreachable, or an order's answer was lost) count.
/// - Of a model's engines that answer and stay, at least `min_usable_percent` accept requests.
class RolloutPlanner {
 public:
  explicit RolloutPlanner(RolloutSettings settings) : settings_(settings) {}

  /// A new lease tenure: what an earlier one knew is forgotten.
  void beginTenure();
  /// @param engines all engines of the goal's models, each asked in this tenure.
  std::vector<LoadOrder> plan(const RolloutGoal& goal, const std::vector<SurveyedEngine>& engines,
                              MonotonicTime now);
  std::vector<LoadOrder> plan(const bundle::Bundle& bundle,
                              const std::vector<SurveyedEngine>& engines, MonotonicTime now) {
    return plan(goalOf(bundle), engines, now);
  }
  /// The engine answered the order, whatever it said; later reports show what came of it.
  void onOrderAnswered(const BackendId& engine);
  const RolloutProgress& progress() const { return progress_; }

 private:
  struct Memory {
    /// Since when the engine hasn't answered.
    std::optional<MonotonicTime> unreachableSince;
    std::optional<MonotonicTime> orderedAt;
    LoadOrder order;
    /// Its last report in this tenure showed no load, and no order was sent since. As earlier
    /// holders' orders are refused from that report on, it can't be loading even where it is
    /// silent.
    bool knownIdle = false;
    /// The engine's reports show what came of the order, or it can't take effect any more.
    bool orderSettled = true;
  };

  void forgetOthers(const std::vector<SurveyedEngine>& engines);
  void observe(const SurveyedEngine& engine, MonotonicTime now);
  bool maybeLoading(const SurveyedEngine& engine, MonotonicTime now) const;
  bool mayOrder(const SurveyedEngine& engine, WeightsVersion desired, MonotonicTime now) const;
  void planModel(const RolloutGoal::Model& model, const std::vector<SurveyedEngine>& engines,
                 std::size_t& budget, MonotonicTime now, std::vector<LoadOrder>& orders);

  RolloutSettings settings_;
  std::map<BackendId, Memory> memory_;
  RolloutProgress progress_;
};

}  // namespace calicodrift::orders
