#include "orders/rollout_planner.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <random>

namespace calicodrift::orders {
namespace {

constexpr std::size_t kEngines = 12;
constexpr std::int64_t kMaxConcurrentLoads = 3;
constexpr std::int64_t kMinUsablePercent = 60;
constexpr MonotonicTime kFaultsEnd{std::chrono::seconds(40)};

bundle::Bundle bundleAt(std::uint64_t weights) {
  bundle::Bundle bundle;
  bundle::Model model;
  model.id = ModelId("m");
  model.weights = WeightsVersion(weights);
  model.minUsablePercent = kMinUsablePercent;
  bundle.models.push_back(model);
  bundle.maxConcurrentLoads = kMaxConcurrentLoads;
  return bundle;
}

/// Simulates engines in virtual time. Orders may be delayed, their answers may be lost, and loads
/// may fail; until `kFaultsEnd`, engines may also restart with the old weights or be disconnected
/// for a while.
class SimulatedEngines {
 public:
  explicit SimulatedEngines(std::uint64_t seed) : random_(seed), engines_(kEngines) {}

  void advance(MonotonicTime now) {
    now_ = now;
    std::erase_if(delayedOrders_, [this](const DelayedOrder& delayed) {
      if (delayed.arrival <= now_) {
        apply(delayed.order, delayed.tenure);
      }
      return delayed.arrival <= now_;
    });
    for (Engine& engine : engines_) {
      if (engine.loading && now >= engine.loadEnd) {
        engine.weights = chance(0.1) ? engine.weights : *engine.loading;
        engine.loading.reset();
      }
      if (now >= kFaultsEnd) {
        continue;
      }
      if (chance(0.002)) {
        engine = Engine{engine.incarnation + 1, 1, {}, {}, now + Milliseconds(500), 0};
      } else if (chance(0.002)) {
        engine.disconnectedUntil = now + Milliseconds(3000);
      }
    }
  }

  /// Surveys the engines; those that answer refuse orders of earlier tenures from then on.
  std::vector<SurveyedEngine> observe(int tenure) {
    for (Engine& engine : engines_) {
      engine.tenure = now_ >= engine.disconnectedUntil ? tenure : engine.tenure;
    }
    return survey();
  }

  std::vector<SurveyedEngine> survey() const {
    std::vector<SurveyedEngine> found;
    for (std::size_t index = 0; index < engines_.size(); ++index) {
      SurveyedEngine surveyed{BackendId("e" + std::to_string(index)), ModelId("m"), false, {}};
      if (now_ >= engines_[index].disconnectedUntil) {
        surveyed.report = report(engines_[index], surveyed.id);
      }
      found.push_back(surveyed);
    }
    return found;
  }

  /// @return whether the answer arrived.
  bool order(const LoadOrder& order, int tenure) {
    if (chance(0.1)) {
      const Milliseconds delay(std::uniform_int_distribution<int>(50, 1500)(random_));
      delayedOrders_.push_back({now_ + delay, order, tenure});
      return false;
    }
    apply(order, tenure);
    return !chance(0.1);
  }

  std::size_t loading() const {
    return static_cast<std::size_t>(std::count_if(
        engines_.begin(), engines_.end(), [](const Engine& e) { return e.loading.has_value(); }));
  }
  bool allHaveWeights(std::uint64_t weights) const {
    return std::all_of(engines_.begin(), engines_.end(),
                       [weights](const Engine& e) { return e.weights == weights && !e.loading; });
  }

 private:
  struct Engine {
    std::uint64_t incarnation = 1;
    std::uint64_t weights = 1;
    std::optional<std::uint64_t> loading;
    MonotonicTime loadEnd{};
    MonotonicTime disconnectedUntil{};
    int tenure = 0;
  };
  struct DelayedOrder {
    MonotonicTime arrival;
    LoadOrder order;
    int tenure = 0;
  };

  void apply(const LoadOrder& order, int tenure) {
    Engine& engine = engines_.at(std::stoul(order.engine.value().substr(1)));
    const bool accepted = now_ >= engine.disconnectedUntil && tenure >= engine.tenure &&
                          Incarnation(engine.incarnation) == order.incarnation &&
                          engine.weights != order.weights.value() && !engine.loading;
    if (accepted) {
      engine.tenure = tenure;
      engine.loading = order.weights.value();
      engine.loadEnd = now_ + Milliseconds(std::uniform_int_distribution<int>(100, 900)(random_));
    }
  }

  static EngineReport report(const Engine& engine, const BackendId& id) {
    EngineReport report;
    report.id = id;
    report.model = ModelId("m");
    report.incarnation = Incarnation(engine.incarnation);
    report.weights = WeightsVersion(engine.weights);
    report.accepting = !engine.loading;
    if (engine.loading) {
      report.loading = WeightsVersion(*engine.loading);
    }
    return report;
  }
  bool chance(double probability) {
    return std::uniform_real_distribution<double>(0, 1)(random_) < probability;
  }

  std::mt19937_64 random_;
  std::vector<Engine> engines_;
  std::vector<DelayedOrder> delayedOrders_;
  MonotonicTime now_{};
};

struct Outcome {
  std::size_t peakLoading = 0;
  std::size_t minUsablePercentSeen = 100;
  bool finished = false;
};

std::size_t usablePercent(const std::vector<SurveyedEngine>& engines) {
  std::size_t total = 0;
  std::size_t usable = 0;
  for (const SurveyedEngine& engine : engines) {
    total += engine.report ? 1 : 0;
    usable += engine.report && engine.report->accepting ? 1 : 0;
  }
  return total == 0 ? 100 : usable * 100 / total;
}

/// Rolls out version 2 with a new lease holder every two seconds.
Outcome runRollout(std::uint64_t seed) {
  SimulatedEngines engines(seed);
  RolloutPlanner planner(RolloutSettings{Milliseconds(4000), Milliseconds(100)});
  const bundle::Bundle bundle = bundleAt(2);
  Outcome outcome;
  for (int step = 0; step < 3000 && !outcome.finished; ++step) {
    const MonotonicTime now = MonotonicTime{} + Milliseconds(step * 20);
    engines.advance(now);
    if (step % 100 == 0) {
      planner.beginTenure();
    }
    const int tenure = step / 100;
    const std::vector<SurveyedEngine> observed = engines.observe(tenure);
    const std::size_t before = usablePercent(observed);
    for (const LoadOrder& order : planner.plan(bundle, observed, now)) {
      if (engines.order(order, tenure)) {
        planner.onOrderAnswered(order.engine);
      }
    }
    outcome.peakLoading = std::max(outcome.peakLoading, engines.loading());
    // Restarts and disconnections change the percentage as well; only decreases caused by orders
    // count here.
    const std::size_t after = usablePercent(engines.survey());
    if (after < before) {
      outcome.minUsablePercentSeen = std::min(outcome.minUsablePercentSeen, after);
    }
    outcome.finished = engines.allHaveWeights(2);
  }
  return outcome;
}

BOOST_AUTO_TEST_CASE(limitsHoldAndTheRolloutEndsUnderFailures) {
  constexpr std::uint64_t kSeeds = 200;
  std::size_t peak = 0;
  std::size_t minUsable = 100;
  std::size_t finished = 0;
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    const Outcome outcome = runRollout(seed);
    peak = std::max(peak, outcome.peakLoading);
    minUsable = std::min(minUsable, outcome.minUsablePercentSeen);
    finished += outcome.finished ? 1 : 0;
  }
  BOOST_TEST_MESSAGE("peak " << peak << ", fewest usable " << minUsable << "%, finished "
                             << finished);
  BOOST_TEST(peak == static_cast<std::size_t>(kMaxConcurrentLoads));
  BOOST_TEST(minUsable >= static_cast<std::size_t>(kMinUsablePercent));
  BOOST_TEST(finished == kSeeds);
}

SurveyedEngine answering(const std::string& id, std::uint64_t weights) {
  EngineReport report;
  report.id = BackendId(id);
  report.incarnation = Incarnation(1);
  report.weights = WeightsVersion(weights);
  return {BackendId(id), ModelId("m"), false, report};
}

BOOST_AUTO_TEST_CASE(leavingAndUnresponsiveEnginesGetNoOrderAndDoNotBlock) {
  RolloutPlanner planner(RolloutSettings{Milliseconds(1000), Milliseconds(100)});
  std::vector<SurveyedEngine> engines{answering("a", 1), answering("b", 1), answering("c", 1)};
  engines[0].leaving = true;
  engines.push_back({BackendId("dead1"), ModelId("m"), false, {}});
  engines.push_back({BackendId("dead2"), ModelId("m"), false, {}});
  engines.push_back({BackendId("dead3"), ModelId("m"), false, {}});
  bundle::Bundle bundle = bundleAt(2);
  bundle.models[0].minUsablePercent = 50;
  const MonotonicTime start{};
  // Unresponsive engines may be loading for an earlier holder, so they use up the load limit for a
  // while.
  BOOST_TEST(planner.plan(bundle, engines, start).empty());
  const auto orders = planner.plan(bundle, engines, start + Milliseconds(1000));
  BOOST_REQUIRE(orders.size() == 1U);
  BOOST_TEST(orders[0].engine.value() == "b");
}

BOOST_AUTO_TEST_CASE(rollbackIsARolloutOfOlderWeights) {
  RolloutPlanner planner(RolloutSettings{});
  const std::vector<SurveyedEngine> engines{answering("a", 2), answering("b", 2),
                                            answering("c", 1)};
  const auto orders = planner.plan(bundleAt(1), engines, MonotonicTime{});
  BOOST_REQUIRE(orders.size() == 1U);
  BOOST_TEST(orders[0].weights.value() == 1U);
}

}  // namespace
}  // namespace calicodrift::orders
