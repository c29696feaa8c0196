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
  /// Too little was seen.
  kUndecided,
  /// Enough was seen, and nothing speaks against the candidate.
  kSound,
  kBad,
};
std::string_view toString(Verdict verdict);

/// Figures of the judgement; docs/design/service-rollouts.md derives them and has the table of the
/// chances of both errors.
struct JudgeSettings {
  /// Logarithm of the likelihood ratio at which the candidate is rejected. Chance of a sound
  /// version to be rejected in n answers: below n x p x e^-threshold for each test, where p is the
  /// share of bad answers that the test looks for.
  double threshold = 12;
  /// Answers of the candidate below which it is never called sound.
  std::uint32_t leastAnswers = 40;
  /// The same for each route that brings a notable share of the stable version's answers: badness
  /// on a single route is seen there only. Of 30 answers of which 3 in 10 are failures 9 are, and
  /// 5 to 6 reject.
  std::uint32_t leastRouteAnswers = 30;
  double notableRouteShare = 0.05;
  /// What the stable version did is looked at over so long, so that a fault that strikes both shows
  /// in both.
  Milliseconds window{5000};
};

/// Judges the candidate of one order from the sums over all nodes: cumulative log-likelihood ratios
/// (CUSUM) for failures, slow starts and slow pace, on each route and over all of them, against
/// what the stable version did in the same seconds. Every node runs one on the sums that it hears,
/// so that no node is needed for a rejection. No I/O.
///
/// Answers of a route on which the stable version gave too few to compare with are left out, so
/// that the candidate stays undecided there.
class Judge {
 public:
  explicit Judge(JudgeSettings settings) : settings_(settings) {}

  /// @param sum what all nodes have seen, with this one. Counts may fall where a node was lost.
  Verdict update(const OrderObservations& sum, MonotonicTime now);
  Verdict verdict() const { return verdict_; }
  /// The highest of the present ratios, and a text for logs with the figures behind it: route,
  /// test, counts of both versions. Both stay as they were when the candidate was rejected.
  double evidence() const;
  std::string explain() const;

 private:
  using Samples = std::array<RouteSample, kTracks>;
  static constexpr std::size_t kTests = 6;
  static constexpr std::size_t kRecents = 3;

  /// Of one test on one scope, since its ratio was last 0.
  struct Score {
    double ratio = 0;
    std::uint64_t bad = 0;
    std::uint64_t answers = 0;
    /// Share of bad answers that a sound version was last expected to have.
    double expected = 0;
  };
  /// What the stable version answered since the slice before.
  struct Slice {
    MonotonicTime from{};
    RouteSample stable;
  };
  /// A route, or all of them.
  struct Scope {
    Samples seen;
    std::deque<Slice> slices;
    std::array<Score, kTests> scores;
  };
  /// What the stable version did over the window, and over its last parts.
  struct Baseline {
    RouteSample window;
    std::array<RouteSample, kRecents> recent;
  };
  /// Answers that sums have lost and may regain: a part of the tree was out of reach.
  struct Missing {
    std::uint64_t answers = 0;
    MonotonicTime until{};
  };
  /// Bad answers among some.
  struct Counts {
    std::uint64_t bad = 0;
    std::uint64_t answers = 0;
  };
  struct Strongest {
    /// Nothing: over all routes.
    std::optional<RouteKey> route;
    std::size_t test = 0;
    const Scope* scope = nullptr;
    Score score;
  };

  /// How each sample grew since the last update.
  std::map<RouteKey, Samples> takeGrowth(const std::map<RouteKey, Samples>& sum, MonotonicTime now);
  /// Nothing where any count fell, as what the others added can't be told, and where it rises by
  /// what was missing.
  static RouteSample growthOf(const RouteSample& sample, const RouteSample& before,
                              Missing& missing, MonotonicTime now);
  void judge(Scope& scope, const Samples& growth, MonotonicTime now);
  void remember(Scope& scope, const RouteSample& stable, MonotonicTime now) const;
  Baseline baselineOf(const Scope& scope, MonotonicTime now) const;
  static void scoreFailures(Score& score, double step, const Baseline& baseline,
                            const RouteSample& candidate);
  static void scoreSlowness(Score& score, double tail, RatioHistogram RouteSample::*ratios,
                            const Baseline& baseline, const RouteSample& candidate);
  static void add(Score& score, double step, double expected, Counts seen);
  /// Whether the candidate has answered enough, and on each notable route.
  bool sawEnough() const;
  Strongest strongest() const;
  std::string describe(const Strongest& strongest) const;

  JudgeSettings settings_;
  Verdict verdict_ = Verdict::kUndecided;
  std::map<RouteKey, Samples> last_;
  std::map<RouteKey, std::array<Missing, kTracks>> missing_;
  std::map<RouteKey, Scope> routes_;
  Scope all_;
  /// At the rejection.
  double finalEvidence_ = 0;
  std::string finalText_;
};

}  // namespace calicodrift::service_rollout
