#pragma once

#include <algorithm>
#include <array>
#include <cmath>
#include <cstdint>
#include <functional>
#include <optional>
#include <random>
#include <vector>

#include "service_rollout/judge.h"

/// Orders with drawn answers of both versions, for the tests of the judge.
namespace calicodrift::service_rollout {

/// How some answers of a version differ from a sound one's.
struct Badness {
  double failing = 0;
  double slow = 0;
  double slowBy = 1;
  /// Since the order.
  double fromSecond = 0;
  /// Nothing: on all routes.
  std::optional<std::size_t> route = std::nullopt;
};

struct Play {
  double requestsPerSecond = 228;
  double seconds = 30;
  double canaryShare = 0.1;
  Badness candidate;
  Badness stable;
  /// Of sound answers of either version: share of failures, and deviation of the logarithm of their
  /// times.
  double noiseFailing = 0.01;
  double noiseSpread = 0.5;
  std::array<double, 2> routeShares = {0.6, 0.4};
  std::size_t nodes = 1;
  /// The chance that a node is lost and begins anew, a second and node.
  double restartsPerSecond = 0;
  /// Whether answers say anything of speed.
  bool timed = true;
  double stableEndsAt = 1e9;
};

struct PlayResult {
  /// Nothing: not by the end.
  std::optional<double> rejectedAt;
  /// Answers of the candidate until the rejection or the end, and those its badness made bad.
  std::uint64_t answers = 0;
  std::uint64_t bad = 0;
  Verdict verdict = Verdict::kUndecided;
};

/// Told the sums each 100 ms; whether the candidate is rejected.
using Rejects = std::function<bool(const OrderObservations&, MonotonicTime)>;

class Player {
 public:
  Player(const Play& play, std::uint64_t seed)
      : play_(play), random_(seed), sigma_(0, play.noiseSpread), nodes_(play.nodes) {}

  PlayResult run(const Rejects& rejects) {
    constexpr double kTick = 0.1;
    std::poisson_distribution<int> arrivals(play_.requestsPerSecond * kTick);
    const auto ticks = static_cast<int>(std::lround(play_.seconds / kTick));
    for (int tick = 1; tick <= ticks; ++tick) {
      second_ = tick * kTick;
      restart(kTick);
      for (int count = arrivals(random_); count > 0; --count) {
        answer();
      }
      const MonotonicTime now = MonotonicTime() + Milliseconds(100'000 + 100 * tick);
      if (rejects(sum(), now)) {
        result_.rejectedAt = second_;
        break;
      }
    }
    return result_;
  }

 private:
  bool chance(double share) { return uniform_(random_) < share; }

  void restart(double seconds) {
    for (OrderObservations& node : nodes_) {
      if (play_.restartsPerSecond > 0 && chance(play_.restartsPerSecond * seconds)) {
        node = {};
      }
    }
  }

  void answer() {
    const std::size_t route = chance(play_.routeShares[0]) ? 0 : 1;
    const Track track = chance(play_.canaryShare) ? Track::kCandidate : Track::kStable;
    if (track == Track::kStable && second_ > play_.stableEndsAt) {
      return;
    }
    const Badness& badness = track == Track::kCandidate ? play_.candidate : play_.stable;
    const bool affected = second_ >= badness.fromSecond && badness.route.value_or(route) == route;
    const bool badFailure = affected && chance(badness.failing);
    const bool slow = affected && !badFailure && chance(badness.slow);
    const bool failed = badFailure || chance(play_.noiseFailing);
    RouteSample& sample =
        nodes_[std::uniform_int_distribution<std::size_t>(0, nodes_.size() - 1)(random_)]
            .routes[RouteKey(route + 1)][static_cast<std::size_t>(track)];
    ++sample.answered;
    if (failed) {
      ++sample.failed;
    } else if (play_.timed) {
      const double factor = slow ? badness.slowBy : 1;
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

  Play play_;
  std::mt19937_64 random_;
  std::uniform_real_distribution<double> uniform_{0, 1};
  std::normal_distribution<double> sigma_;
  std::vector<OrderObservations> nodes_;
  double second_ = 0;
  PlayResult result_;
};

inline PlayResult playWithJudge(const Play& play, std::uint64_t seed) {
  Judge judge{JudgeSettings()};
  PlayResult result =
      Player(play, seed).run([&judge](const OrderObservations& sum, MonotonicTime now) {
        return judge.update(sum, now) == Verdict::kBad;
      });
  result.verdict = judge.verdict();
  return result;
}

}  // namespace calicodrift::service_rollout
