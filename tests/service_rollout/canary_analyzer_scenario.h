#pragma once

#include <algorithm>
#include <array>
#include <cmath>
#include <cstdint>
#include <functional>
#include <optional>
#include <random>
#include <vector>

#include "service_rollout/canary_analyzer.h"

/// Simulated orders with random answers of both versions, for the tests of the canary analyzer.
namespace calicodrift::service_rollout {

/// How some answers of a version differ from a sound version's.
struct Defect {
  double failing = 0;
  double slow = 0;
  double slowBy = 1;
  /// Start of the defect, in seconds since the order.
  double fromSecond = 0;
  /// Empty for all routes.
  std::optional<std::size_t> route = std::nullopt;
};

struct Scenario {
  double requestsPerSecond = 228;
  double seconds = 30;
  double canaryShare = 0.1;
  Defect candidate;
  Defect stable;
  /// For sound answers of either version: share of failures, and standard deviation of the
  /// logarithm of their times.
  double baseFailureRate = 0.01;
  double latencyDeviation = 0.5;
  std::array<double, 2> routeShares = {0.6, 0.4};
  std::size_t nodes = 1;
  /// Probability per second and node that the node is lost and restarts without its counts.
  double restartsPerSecond = 0;
  /// Whether answers carry times.
  bool hasTimes = true;
  double stableEndsAt = 1e9;
};

struct ScenarioResult {
  /// Empty if not rejected by the end.
  std::optional<double> rejectedAt;
  /// Answers of the candidate until the rejection or the end, and those made bad by its defect.
  std::uint64_t answers = 0;
  std::uint64_t bad = 0;
  Verdict verdict = Verdict::kUndecided;
};

/// Receives the sums every 100 ms; returns whether the candidate is rejected.
using Rejects = std::function<bool(const OrderObservations&, MonotonicTime)>;

class ScenarioRunner {
 public:
  ScenarioRunner(const Scenario& scenario, std::uint64_t seed)
      : scenario_(scenario),
        random_(seed),
        sigma_(0, scenario.latencyDeviation),
        nodes_(scenario.nodes) {}

  ScenarioResult run(const Rejects& rejects) {
    constexpr double kTick = 0.1;
    std::poisson_distribution<int> arrivals(scenario_.requestsPerSecond * kTick);
    const auto ticks = static_cast<int>(std::lround(scenario_.seconds / kTick));
    for (int tick = 1; tick <= ticks; ++tick) {
      elapsed_ = tick * kTick;
      restart(kTick);
      for (int count = arrivals(random_); count > 0; --count) {
        generateAnswer();
      }
      const MonotonicTime now = MonotonicTime() + Milliseconds(100'000 + 100 * tick);
      if (rejects(sum(), now)) {
        result_.rejectedAt = elapsed_;
        break;
      }
    }
    return result_;
  }

 private:
  bool chance(double share) { return uniform_(random_) < share; }

  void restart(double seconds) {
    for (OrderObservations& node : nodes_) {
      if (scenario_.restartsPerSecond > 0 && chance(scenario_.restartsPerSecond * seconds)) {
        node = {};
      }
    }
  }

  void generateAnswer() {
    const std::size_t route = chance(scenario_.routeShares[0]) ? 0 : 1;
    const Track track = chance(scenario_.canaryShare) ? Track::kCandidate : Track::kStable;
    if (track == Track::kStable && elapsed_ > scenario_.stableEndsAt) {
      return;
    }
    const Defect& defect = track == Track::kCandidate ? scenario_.candidate : scenario_.stable;
    const bool affected = elapsed_ >= defect.fromSecond && defect.route.value_or(route) == route;
    const bool badFailure = affected && chance(defect.failing);
    const bool slow = affected && !badFailure && chance(defect.slow);
    const bool failed = badFailure || chance(scenario_.baseFailureRate);
    RouteSample& sample =
        nodes_[std::uniform_int_distribution<std::size_t>(0, nodes_.size() - 1)(random_)]
            .routes[RouteKey(route + 1)][static_cast<std::size_t>(track)];
    ++sample.answered;
    if (failed) {
      ++sample.failed;
    } else if (scenario_.hasTimes) {
      const double factor = slow ? defect.slowBy : 1;
      ++sample.start[ratioBucket(factor * std::exp(sigma_(random_)))];
      ++sample.pace[ratioBucket(factor * std::exp(sigma_(random_)))];
    }
    if (track == Track::kCandidate) {
      ++result_.answers;
      result_.bad += badFailure || slow ? 1 : 0;
    }
  }

  OrderObservations sum() const {
    OrderObservations total;
    for (const OrderObservations& node : nodes_) {
      total += node;
    }
    return total;
  }

  Scenario scenario_;
  std::mt19937_64 random_;
  std::uniform_real_distribution<double> uniform_{0, 1};
  std::normal_distribution<double> sigma_;
  std::vector<OrderObservations> nodes_;
  double elapsed_ = 0;
  ScenarioResult result_;
};

inline ScenarioResult runWithJudge(const Scenario& scenario, std::uint64_t seed) {
  CanaryAnalyzer analyzer{CanaryAnalyzerSettings()};
  ScenarioResult result = ScenarioRunner(scenario, seed)
                              .run([&analyzer](const OrderObservations& sum, MonotonicTime now) {
                                return analyzer.update(sum, now) == Verdict::kBad;
                              });
  result.verdict = analyzer.verdict();
  return result;
}

}  // namespace calicodrift::service_rollout
