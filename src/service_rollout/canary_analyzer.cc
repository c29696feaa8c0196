#include "service_rollout/canary_analyzer.h"

#include <algorithm>
#include <cmath>
#include <iomanip>
#include <numeric>
#include <sstream>

namespace calicodrift::service_rollout {
namespace {

constexpr std::size_t kStable = static_cast<std::size_t>(Track::kStable);
constexpr std::size_t kCandidate = static_cast<std::size_t>(Track::kCandidate);

/// Most recent parts of the window. They show a fault that has just affected both versions, so that
/// its first answers are not counted against the candidate alone.
constexpr std::array<Milliseconds, 3> kRecentWindowLengths = {Milliseconds(100), Milliseconds(500),
                                                              Milliseconds(2000)};
/// Answers that the sums have lost are expected to return within this time: a lost relay is
/// replaced within a few seconds.
constexpr Milliseconds kRecoveryTime{10'000};
/// Used in place of the window if the stable version answered too little in it.
constexpr Milliseconds kMaxWindow{30'000};
/// Limits the number of slices to 300; more frequent updates share a slice.
constexpr Milliseconds kSliceLength{100};

/// With fewer answers of the stable version, a failure ratio or a tail is not meaningful.
constexpr std::uint64_t kMinAnswersForFailures = 40;
constexpr std::uint64_t kMinAnswersForSlowness = 100;
/// Each estimated share starts from this many answers with the floor's share of bad ones, so that
/// one failure among three answers is not taken as a share of a third.
constexpr double kPriorAnswers = 20;
/// Recent windows with fewer bad answers are ignored: the maximum over several short windows would
/// otherwise reflect a few chance answers.
constexpr std::uint64_t kMinBadInRecentWindow = 3;
/// Minimum share of bad answers assumed for a sound version: a stable version without failures in
/// one window may have some in the next.
constexpr double kFailureFloor = 0.01;
constexpr double kSlownessFloor = 0.02;
/// Increase of the share of bad answers that a test looks for.
constexpr double kLargeFailureIncrease = 0.10;
constexpr double kSmallFailureIncrease = 0.03;
constexpr double kSlowIncrease = 0.10;
/// A sound version may be slower by this number of buckets, a factor of the square root of two
/// each: its caches are colder and its load differs a little from the stable version's.
constexpr std::size_t kToleratedBuckets = 1;
/// The same if the stable version answers nothing at the same time, as while all traffic is
/// shifted: slow nodes or network paths can't be distinguished from a slow version then, and
/// connections are new. Without it, a pause of a busy node at the moment of the shift rejected 1 of
/// 8 sound versions.
constexpr std::size_t kToleratedBucketsWithoutStable = 3;
constexpr std::uint64_t kMinConcurrentAnswers = 10;
/// An answer is slow if it took longer than all but this share of the stable version's answers
/// would with the tolerated factor. The wide tail detects a version that is three times slower, the
/// thin one a version of which few answers are much slower.
constexpr double kWideTail = 0.10;
constexpr double kThinTail = 0.02;
/// Nothing can be inferred if the stable version's share of bad answers is above this.
constexpr double kMaxExpectedShare = 0.95;

enum Test : std::size_t { kMany, kSome, kStartWide, kStartThin, kPaceWide, kPaceThin };
constexpr std::array<std::string_view, 6> kTestNames = {"many failures", "some failures",
                                                        "slow start",    "very slow start",
                                                        "slow pace",     "very slow pace"};

bool decreased(const RatioHistogram& now, const RatioHistogram& before) {
  for (std::size_t bucket = 0; bucket < kRatioBuckets; ++bucket) {
    if (now[bucket] < before[bucket]) {
      return true;
    }
  }
  return false;
}

RatioHistogram difference(const RatioHistogram& now, const RatioHistogram& before) {
  RatioHistogram result{};
  std::transform(now.begin(), now.end(), before.begin(), result.begin(), std::minus<>());
  return result;
}

bool decreased(const RouteSample& now, const RouteSample& before) {
  return now.answered < before.answered || now.failed < before.failed ||
         decreased(now.start, before.start) || decreased(now.pace, before.pace);
}

std::uint64_t countFrom(const RatioHistogram& ratios, std::size_t bucket) {
  return std::accumulate(ratios.begin() + static_cast<std::ptrdiff_t>(bucket), ratios.end(),
                         std::uint64_t{0});
}

double shareOf(std::uint64_t bad, std::uint64_t answers, double floor) {
  const double share = (static_cast<double>(bad) + floor * kPriorAnswers) /
                       (static_cast<double>(answers) + kPriorAnswers);
  return std::max(share, floor);
}

}  // namespace

std::string_view toString(Verdict verdict) {
  switch (verdict) {
    case Verdict::kUndecided:
      return "undecided";
    case Verdict::kSound:
      return "sound";
    case Verdict::kBad:
      return "bad";
  }
  return "unknown";
}

Verdict CanaryAnalyzer::update(const OrderObservations& sum, MonotonicTime now) {
  if (verdict_ == Verdict::kBad) {
    return verdict_;
  }
  Samples total{};
  for (const auto& [route, increment] : computeIncrements(sum.routes, now)) {
    updateScores(routes_[route], increment, now);
    for (std::size_t track = 0; track < kTrackCount; ++track) {
      total[track] += increment[track];
    }
  }
  updateScores(all_, total, now);
  const Strongest found = strongest();
  if (sum.rejected || found.score.ratio >= settings_.threshold) {
    finalEvidence_ = found.score.ratio;
    finalText_ =
        (sum.rejected ? "rejected by another node; local evidence: " : "") + describe(found);
    verdict_ = Verdict::kBad;
  } else if (hasEnoughAnswers() && found.score.ratio <= settings_.threshold / 2) {
    verdict_ = Verdict::kSound;
  } else {
    verdict_ = Verdict::kUndecided;
  }
  return verdict_;
}

bool CanaryAnalyzer::hasEnoughAnswers() const {
  if (all_.seen[kCandidate].answered < settings_.minAnswers) {
    return false;
  }
  const double significant = settings_.significantRouteShare * all_.seen[kStable].answered;
  return std::all_of(routes_.begin(), routes_.end(), [this, significant](const auto& entry) {
    const Samples& seen = entry.second.seen;
    return seen[kStable].answered < significant ||
           seen[kCandidate].answered >= settings_.minRouteAnswers;
  });
}

std::map<RouteKey, CanaryAnalyzer::Samples> CanaryAnalyzer::computeIncrements(
    const std::map<RouteKey, Samples>& sum, MonotonicTime now) {
  std::map<RouteKey, Samples> increment;
  std::map<RouteKey, Samples> latest = sum;
  for (const auto& [route, before] : last_) {
    latest.try_emplace(route);
  }
  for (const auto& [route, samples] : latest) {
    const Samples& before = last_[route];
    for (std::size_t track = 0; track < kTrackCount; ++track) {
      increment[route][track] =
          incrementOf(samples[track], before[track], lostAnswers_[route][track], now);
    }
  }
  last_ = std::move(latest);
  return increment;
}

RouteSample CanaryAnalyzer::incrementOf(const RouteSample& sample, const RouteSample& before,
                                        LostAnswers& lost, MonotonicTime now) {
  if (now > lost.until) {
    lost.answers = 0;
  }
  if (decreased(sample, before)) {
    lost.answers += before.answered - std::min(sample.answered, before.answered);
    lost.until = now + kRecoveryTime;
    return {};
  }
  RouteSample increment;
  increment.answered = sample.answered - before.answered;
  // Each update adds a few new answers, while lost answers return all at once.
  if (lost.answers > 0 && increment.answered >= lost.answers / 2) {
    lost.answers -= std::min<std::uint64_t>(lost.answers, increment.answered);
    return {};
  }
  increment.failed = sample.failed - before.failed;
  increment.start = difference(sample.start, before.start);
  increment.pace = difference(sample.pace, before.pace);
  return increment;
}

void CanaryAnalyzer::updateScores(Scope& scope, const Samples& increment, MonotonicTime now) {
  recordStableAnswers(scope, increment[kStable], now);
  const RouteSample& candidate = increment[kCandidate];
  for (std::size_t track = 0; track < kTrackCount; ++track) {
    scope.seen[track] += increment[track];
  }
  if (candidate.answered == 0) {
    return;
  }
  const Baseline baseline = baselineOf(scope, now);
  auto& scores = scope.scores;
  scoreFailures(scores[kMany], kLargeFailureIncrease, baseline, candidate);
  scoreFailures(scores[kSome], kSmallFailureIncrease, baseline, candidate);
  scoreSlowness(scores[kStartWide], kWideTail, &RouteSample::start, baseline, candidate);
  scoreSlowness(scores[kStartThin], kThinTail, &RouteSample::start, baseline, candidate);
  scoreSlowness(scores[kPaceWide], kWideTail, &RouteSample::pace, baseline, candidate);
  scoreSlowness(scores[kPaceThin], kThinTail, &RouteSample::pace, baseline, candidate);
}

void CanaryAnalyzer::recordStableAnswers(Scope& scope, const RouteSample& stable,
                                         MonotonicTime now) const {
  while (!scope.slices.empty() &&
         now - scope.slices.front().from > std::max(kMaxWindow, settings_.window)) {
    scope.slices.pop_front();
  }
  if (stable == RouteSample{}) {
    return;
  }
  if (scope.slices.empty() || now - scope.slices.back().from >= kSliceLength) {
    scope.slices.push_back({now, {}});
  }
  scope.slices.back().stable += stable;
}

CanaryAnalyzer::Baseline CanaryAnalyzer::baselineOf(const Scope& scope, MonotonicTime now) const {
  Baseline baseline;
  for (auto slice = scope.slices.rbegin(); slice != scope.slices.rend(); ++slice) {
    const auto age = now - slice->from;
    if (age > settings_.window && baseline.window.answered >= kMinAnswersForSlowness) {
      break;
    }
    baseline.window += slice->stable;
    for (std::size_t recentWindow = 0; recentWindow < kRecentWindows; ++recentWindow) {
      if (age < kRecentWindowLengths[recentWindow]) {
        baseline.recent[recentWindow] += slice->stable;
      }
    }
  }
  return baseline;
}

void CanaryAnalyzer::scoreFailures(Score& score, double increase, const Baseline& baseline,
                                   const RouteSample& candidate) {
  if (baseline.window.answered < kMinAnswersForFailures) {
    return;
  }
  double expected = shareOf(baseline.window.failed, baseline.window.answered, kFailureFloor);
  for (const RouteSample& recentWindow : baseline.recent) {
    if (recentWindow.failed >= kMinBadInRecentWindow) {
      expected =
          std::max(expected, shareOf(recentWindow.failed, recentWindow.answered, kFailureFloor));
    }
  }
  addToScore(score, increase, expected, {candidate.failed, candidate.answered});
}

void CanaryAnalyzer::scoreSlowness(Score& score, double tail, RatioHistogram RouteSample::*ratios,
                                   const Baseline& baseline, const RouteSample& candidate) {
  const RatioHistogram& stable = baseline.window.*ratios;
  const std::uint64_t answers = countFrom(stable, 0);
  if (answers < kMinAnswersForSlowness) {
    return;
  }
  std::size_t tailFrom = 0;
  while (tailFrom + 1 < kRatioBuckets &&
         static_cast<double>(countFrom(stable, tailFrom)) > tail * static_cast<double>(answers)) {
    ++tailFrom;
  }
  const bool withoutStable = countFrom(baseline.recent.back().*ratios, 0) < kMinConcurrentAnswers;
  const std::size_t tolerated = withoutStable ? kToleratedBucketsWithoutStable : kToleratedBuckets;
  const std::size_t slowFrom = std::min(tailFrom + tolerated, kRatioBuckets - 1);
  double expected = shareOf(countFrom(stable, tailFrom), answers, kSlownessFloor);
  for (const RouteSample& recentWindow : baseline.recent) {
    const RatioHistogram& recent = recentWindow.*ratios;
    const std::uint64_t above = countFrom(recent, tailFrom);
    if (above >= kMinBadInRecentWindow) {
      expected = std::max(expected, shareOf(above, countFrom(recent, 0), kSlownessFloor));
    }
  }
  const RatioHistogram& seen = candidate.*ratios;
  addToScore(score, kSlowIncrease, expected, {countFrom(seen, slowFrom), countFrom(seen, 0)});
}

void CanaryAnalyzer::addToScore(Score& score, double increase, double expected, Counts seen) {
  if (seen.answers == 0 || expected + increase > kMaxExpectedShare) {
    return;
  }
  const auto bad = static_cast<double>(seen.bad);
  const auto good = static_cast<double>(seen.answers - std::min(seen.bad, seen.answers));
  const double ratio = bad * std::log((expected + increase) / expected) +
                       good * std::log((1 - expected - increase) / (1 - expected));
  if (score.ratio + ratio <= 0) {
    score = {};
    return;
  }
  score.ratio += ratio;
  score.bad += seen.bad;
  score.answers += seen.answers;
  score.expected = expected;
}

CanaryAnalyzer::Strongest CanaryAnalyzer::strongest() const {
  Strongest found;
  found.scope = &all_;
  const auto consider = [&found](const Scope& scope, std::optional<RouteKey> route) {
    for (std::size_t test = 0; test < kTests; ++test) {
      if (scope.scores[test].ratio > found.score.ratio) {
        found = {route, test, &scope, scope.scores[test]};
      }
    }
  };
  consider(all_, std::nullopt);
  for (const auto& [route, scope] : routes_) {
    consider(scope, route);
  }
  return found;
}

double CanaryAnalyzer::evidence() const {
  return verdict_ == Verdict::kBad ? finalEvidence_ : strongest().score.ratio;
}

std::string CanaryAnalyzer::explain() const {
  return verdict_ == Verdict::kBad ? finalText_ : describe(strongest());
}

std::string CanaryAnalyzer::describe(const Strongest& strongest) const {
  const Samples& seen = strongest.scope->seen;
  std::ostringstream text;
  text << std::fixed << std::setprecision(1);
  if (strongest.score.answers == 0) {
    text << "no evidence against the candidate";
  } else {
    text << kTestNames[strongest.test] << " on ";
    if (strongest.route) {
      text << "route " << std::hex << strongest.route->value() << std::dec;
    } else {
      text << "all routes";
    }
    text << ": " << strongest.score.bad << " of " << strongest.score.answers << " answers, "
         << 100 * strongest.score.expected << "% expected, ratio " << strongest.score.ratio
         << " of " << settings_.threshold;
  }
  text << "; candidate " << seen[kCandidate].failed << " of " << seen[kCandidate].answered
       << " failed, stable " << seen[kStable].failed << " of " << seen[kStable].answered;
  return text.str();
}

}  // namespace calicodrift::service_rollout
