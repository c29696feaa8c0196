#pragma once

#include <array>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <string_view>

#include "common/clock.h"
#include "service_rollout/observations.h"

namespace calicodrift::service_rollout {

enum class Verdict {
  /// Too few answers so far.
  kUndecided,
  /// Enough answers, and no evidence against the candidate.
  kSound,
  kBad,
};
std::string_view toString(Verdict verdict);

/// Parameters of the judgement; docs/design/service-rollouts.md derives them and tabulates the
/// probabilities of both errors.
struct CanaryAnalyzerSettings {
  /// Logarithm of the likelihood ratio at which the candidate is rejected. A sound version is
  /// rejected within n answers with probability below n x p x e^-threshold for each test, where p
  /// is the share of bad answers that the test looks for.
  double threshold = 12;
  /// Minimum number of answers of the candidate before it is considered sound.
  std::uint32_t minAnswers = 40;
  /// The same for each route with a significant share of the stable version's answers, since a
  /// defect on a single route shows only there. Of 30 answers with a failure share of 0.3, 9 are
  /// failures, and 5 to 6 suffice to reject.
  std::uint32_t minRouteAnswers = 30;
  double significantRouteShare = 0.05;
  /// Time over which the stable version's answers are evaluated, so that a fault affecting both
  /// versions shows in both.
  Milliseconds window{5000};
};

/// Judges the candidate of one order from the sums over all nodes: cumulative log-likelihood ratios
/// (CUSUM) for failures, slow starts and slow pace, on each route and over all routes, against the
/// stable version's answers in the same seconds. Every node judges the sums that it receives, so no
/// particular node is needed for a rejection. Performs no I/O.
///
/// Answers on a route with too few answers of the stable version are ignored, so the candidate
/// stays undecided there.
class CanaryAnalyzer {
 public:
  explicit CanaryAnalyzer(CanaryAnalyzerSettings settings) : settings_(settings) {}

  /// @param sum observations of all nodes including this one. Counts may decrease if a node is
  /// lost.
  Verdict update(const OrderObservations& sum, MonotonicTime now);
  Verdict verdict() const { return verdict_; }
  /// The highest current log-likelihood ratio, and a text for logs with the underlying figures:
  /// route, test, and counts of both versions. Both are frozen when the candidate is rejected.
  double evidence() const;
  std::string explain() const;

 private:
  using Samples = std::array<RouteSample, kTrackCount>;
  static constexpr std::size_t kTests = 6;
  static constexpr std::size_t kRecentWindows = 3;

  /// State of one test on one scope since its ratio was last 0.
  struct Score {
    double ratio = 0;
    std::uint64_t bad = 0;
    std::uint64_t answers = 0;
    /// Share of bad answers last expected of a sound version.
    double expected = 0;
  };
  /// Answers of the stable version since the previous slice.
  struct Slice {
    MonotonicTime from{};
    RouteSample stable;
  };
  /// A route, or all routes.
  struct Scope {
    Samples seen;
    std::deque<Slice> slices;
    std::array<Score, kTests> scores;
  };
  /// Answers of the stable version in the window and in its most recent parts.
  struct Baseline {
    RouteSample window;
    std::array<RouteSample, kRecentWindows> recent;
  };
  /// Answers that sums have lost and may regain, as after a part of the relay tree was unreachable.
  struct LostAnswers {
    std::uint64_t answers = 0;
    MonotonicTime until{};
  };
  /// Number of bad answers, and of all answers.
  struct Counts {
    std::uint64_t bad = 0;
    std::uint64_t answers = 0;
  };
  struct Strongest {
    /// Empty for all routes.
    std::optional<RouteKey> route;
    std::size_t test = 0;
    const Scope* scope = nullptr;
    Score score;
  };

  /// Increments of each sample since the last update.
  std::map<RouteKey, Samples> computeIncrements(const std::map<RouteKey, Samples>& sum,
                                                MonotonicTime now);
  /// Returns an empty increment if any count decreased, as the contribution of the other nodes is
  /// unknown then, and if the counts rise by the number of lost answers.
  static RouteSample incrementOf(const RouteSample& sample, const RouteSample& before,
                                 LostAnswers& lost, MonotonicTime now);
  void updateScores(Scope& scope, const Samples& increment, MonotonicTime now);
  void recordStableAnswers(Scope& scope, const RouteSample& stable, MonotonicTime now) const;
  Baseline baselineOf(const Scope& scope, MonotonicTime now) const;
  static void scoreFailures(Score& score, double increase, const Baseline& baseline,
                            const RouteSample& candidate);
  static void scoreSlowness(Score& score, double tail, RatioHistogram RouteSample::*ratios,
                            const Baseline& baseline, const RouteSample& candidate);
  static void addToScore(Score& score, double increase, double expected, Counts seen);
  /// Whether the candidate has enough answers, in total and on each significant route.
  bool hasEnoughAnswers() const;
  Strongest strongest() const;
  std::string describe(const Strongest& strongest) const;

  CanaryAnalyzerSettings settings_;
  Verdict verdict_ = Verdict::kUndecided;
  std::map<RouteKey, Samples> last_;
  std::map<RouteKey, std::array<LostAnswers, kTrackCount>> lostAnswers_;
  std::map<RouteKey, Scope> routes_;
  Scope all_;
  /// Values at the rejection.
  double finalEvidence_ = 0;
  std::string finalText_;
};

}  // namespace calicodrift::service_rollout
