#include "service_rollout/judge.h"

#include <algorithm>
#include <cmath>
#include <iomanip>
#include <numeric>
#include <sstream>

namespace calicodrift::service_rollout {
namespace {

constexpr std::size_t kStable = static_cast<std::size_t>(Track::kStable);
constexpr std::size_t kCandidate = static_cast<std::size_t>(Track::kCandidate);

/// Last parts of the window, which show a fault that has just struck both versions, so that its
/// first answers aren't held against the candidate alone.
constexpr std::array<Milliseconds, 3> kRecent = {Milliseconds(100), Milliseconds(500),
                                                 Milliseconds(2000)};
/// For so long answers that the sums have lost are expected back: a relay that was lost is replaced
/// within a few seconds.
constexpr Milliseconds kRegainTime{10'000};
/// Looked at in place of the window where the stable version answered too little in it.
constexpr Milliseconds kLongestWindow{30'000};
/// Bounds the slices that are kept, to 300; updates that come more often share one.
constexpr Milliseconds kSliceLength{100};

/// Answers of the stable version below which a share of failures, or a tail, says too little.
constexpr std::uint64_t kLeastForFailures = 40;
constexpr std::uint64_t kLeastForSlowness = 100;
/// Answers without anything bad, but for the floor, that each estimate of a share begins with: one
/// failure among three answers is no share of a third.
constexpr double kPriorAnswers = 20;
/// Bad answers in a last part of the window below which it is left out: the highest share of
/// several short parts would else be one that few answers gave by chance.
constexpr std::uint64_t kLeastBadInPart = 3;
/// Least share that a sound version is taken to have: a stable version that failed nothing in the
/// window may do so in the next.
constexpr double kFailureFloor = 0.01;
constexpr double kSlownessFloor = 0.02;
/// By how much more often a bad version's answers are bad than a sound one's.
constexpr double kManyFailures = 0.10;
constexpr double kSomeFailures = 0.03;
constexpr double kManySlow = 0.10;
/// A sound version may be slower by so many buckets, a factor of the root of two: its caches are
/// colder and its load a little other than the stable version's.
constexpr std::size_t kToleratedBuckets = 1;
/// The same where the stable version answers nothing beside it, as while everything is shifted:
/// what slows down nodes or ways can't be told from the version then, and connections are new.
/// Without it a pause of a busy node at the moment of the shift rejected 1 of 8 sound versions.
constexpr std::size_t kToleratedBucketsAlone = 3;
constexpr std::uint64_t kLeastBeside = 10;
/// An answer is slow where it took longer than all but this share of the stable version's answers
/// would with the tolerated factor. The wider tail finds a version that is three times slower, the
/// thinner one a version of which few answers are much slower.
constexpr double kWideTail = 0.10;
constexpr double kThinTail = 0.02;
/// Above this share of bad answers of the stable version nothing can be told.
constexpr double kHighestShare = 0.95;

enum Test : std::size_t { kMany, kSome, kStartWide, kStartThin, kPaceWide, kPaceThin };
constexpr std::array<std::string_view, 6> kTestNames = {"many failures", "some failures",
                                                        "slow start",    "very slow start",
                                                        "slow pace",     "very slow pace"};

bool fell(const RatioHistogram& now, const RatioHistogram& before) {
  for (std::size_t bucket = 0; bucket < kRatioBuckets; ++bucket) {
    if (now[bucket] < before[bucket]) {
      return true;
    }
  }
  return false;
}

RatioHistogram minus(const RatioHistogram& now, const RatioHistogram& before) {
  RatioHistogram difference{};
  std::transform(now.begin(), now.end(), before.begin(), difference.begin(), std::minus<>());
  return difference;
}

bool fell(const RouteSample& now, const RouteSample& before) {
  return now.answered < before.answered || now.failed < before.failed ||
         fell(now.start, before.start) || fell(now.pace, before.pace);
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

Verdict Judge::update(const OrderObservations& sum, MonotonicTime now) {
  if (verdict_ == Verdict::kBad) {
    return verdict_;
  }
  Samples total{};
  for (const auto& [route, growth] : takeGrowth(sum.routes, now)) {
    judge(routes_[route], growth, now);
    for (std::size_t track = 0; track < kTracks; ++track) {
      total[track] += growth[track];
    }
  }
  judge(all_, total, now);
  const Strongest found = strongest();
  if (sum.rejected || found.score.ratio >= settings_.threshold) {
    finalEvidence_ = found.score.ratio;
    finalText_ = (sum.rejected ? "rejected by another node; here: " : "") + describe(found);
    verdict_ = Verdict::kBad;
  } else if (sawEnough() && found.score.ratio <= settings_.threshold / 2) {
    verdict_ = Verdict::kSound;
  } else {
    verdict_ = Verdict::kUndecided;
  }
  return verdict_;
}

bool Judge::sawEnough() const {
  if (all_.seen[kCandidate].answered < settings_.leastAnswers) {
    return false;
  }
  const double notable = settings_.notableRouteShare * all_.seen[kStable].answered;
  return std::all_of(routes_.begin(), routes_.end(), [this, notable](const auto& entry) {
    const Samples& seen = entry.second.seen;
    return seen[kStable].answered < notable ||
           seen[kCandidate].answered >= settings_.leastRouteAnswers;
  });
}

std::map<RouteKey, Judge::Samples> Judge::takeGrowth(const std::map<RouteKey, Samples>& sum,
                                                     MonotonicTime now) {
  std::map<RouteKey, Samples> growth;
  std::map<RouteKey, Samples> latest = sum;
  for (const auto& [route, before] : last_) {
    latest.try_emplace(route);
  }
  for (const auto& [route, samples] : latest) {
    const Samples& before = last_[route];
    for (std::size_t track = 0; track < kTracks; ++track) {
      growth[route][track] = growthOf(samples[track], before[track], missing_[route][track], now);
    }
  }
  last_ = std::move(latest);
  return growth;
}

RouteSample Judge::growthOf(const RouteSample& sample, const RouteSample& before, Missing& missing,
                            MonotonicTime now) {
  if (now > missing.until) {
    missing.answers = 0;
  }
  if (fell(sample, before)) {
    missing.answers += before.answered - std::min(sample.answered, before.answered);
    missing.until = now + kRegainTime;
    return {};
  }
  RouteSample growth;
  growth.answered = sample.answered - before.answered;
  // New answers come a few an update; what was missing comes back at once.
  if (missing.answers > 0 && growth.answered >= missing.answers / 2) {
    missing.answers -= std::min<std::uint64_t>(missing.answers, growth.answered);
    return {};
  }
  growth.failed = sample.failed - before.failed;
  growth.start = minus(sample.start, before.start);
  growth.pace = minus(sample.pace, before.pace);
  return growth;
}

void Judge::judge(Scope& scope, const Samples& growth, MonotonicTime now) {
  remember(scope, growth[kStable], now);
  const RouteSample& candidate = growth[kCandidate];
  for (std::size_t track = 0; track < kTracks; ++track) {
    scope.seen[track] += growth[track];
  }
  if (candidate.answered == 0) {
    return;
  }
  const Baseline baseline = baselineOf(scope, now);
  auto& scores = scope.scores;
  scoreFailures(scores[kMany], kManyFailures, baseline, candidate);
  scoreFailures(scores[kSome], kSomeFailures, baseline, candidate);
  scoreSlowness(scores[kStartWide], kWideTail, &RouteSample::start, baseline, candidate);
  scoreSlowness(scores[kStartThin], kThinTail, &RouteSample::start, baseline, candidate);
  scoreSlowness(scores[kPaceWide], kWideTail, &RouteSample::pace, baseline, candidate);
  scoreSlowness(scores[kPaceThin], kThinTail, &RouteSample::pace, baseline, candidate);
}

void Judge::remember(Scope& scope, const RouteSample& stable, MonotonicTime now) const {
  while (!scope.slices.empty() &&
         now - scope.slices.front().from > std::max(kLongestWindow, settings_.window)) {
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

Judge::Baseline Judge::baselineOf(const Scope& scope, MonotonicTime now) const {
  Baseline baseline;
  for (auto slice = scope.slices.rbegin(); slice != scope.slices.rend(); ++slice) {
    const auto age = now - slice->from;
    if (age > settings_.window && baseline.window.answered >= kLeastForSlowness) {
      break;
    }
    baseline.window += slice->stable;
    for (std::size_t part = 0; part < kRecents; ++part) {
      if (age < kRecent[part]) {
        baseline.recent[part] += slice->stable;
      }
    }
  }
  return baseline;
}

void Judge::scoreFailures(Score& score, double step, const Baseline& baseline,
                          const RouteSample& candidate) {
  if (baseline.window.answered < kLeastForFailures) {
    return;
  }
  double expected = shareOf(baseline.window.failed, baseline.window.answered, kFailureFloor);
  for (const RouteSample& part : baseline.recent) {
    if (part.failed >= kLeastBadInPart) {
      expected = std::max(expected, shareOf(part.failed, part.answered, kFailureFloor));
    }
  }
  add(score, step, expected, {candidate.failed, candidate.answered});
}

void Judge::scoreSlowness(Score& score, double tail, RatioHistogram RouteSample::*ratios,
                          const Baseline& baseline, const RouteSample& candidate) {
  const RatioHistogram& usual = baseline.window.*ratios;
  const std::uint64_t answers = countFrom(usual, 0);
  if (answers < kLeastForSlowness) {
    return;
  }
  std::size_t usualFrom = 0;
  while (usualFrom + 1 < kRatioBuckets &&
         static_cast<double>(countFrom(usual, usualFrom)) > tail * static_cast<double>(answers)) {
    ++usualFrom;
  }
  const bool alone = countFrom(baseline.recent.back().*ratios, 0) < kLeastBeside;
  const std::size_t tolerated = alone ? kToleratedBucketsAlone : kToleratedBuckets;
  const std::size_t slowFrom = std::min(usualFrom + tolerated, kRatioBuckets - 1);
  double expected = shareOf(countFrom(usual, usualFrom), answers, kSlownessFloor);
  for (const RouteSample& part : baseline.recent) {
    const RatioHistogram& recent = part.*ratios;
    const std::uint64_t above = countFrom(recent, usualFrom);
    if (above >= kLeastBadInPart) {
      expected = std::max(expected, shareOf(above, countFrom(recent, 0), kSlownessFloor));
    }
  }
  const RatioHistogram& seen = candidate.*ratios;
  add(score, kManySlow, expected, {countFrom(seen, slowFrom), countFrom(seen, 0)});
}

void Judge::add(Score& score, double step, double expected, Counts seen) {
  if (seen.answers == 0 || expected + step > kHighestShare) {
    return;
  }
  const auto bad = static_cast<double>(seen.bad);
  const auto good = static_cast<double>(seen.answers - std::min(seen.bad, seen.answers));
  const double ratio = bad * std::log((expected + step) / expected) +
                       good * std::log((1 - expected - step) / (1 - expected));
  if (score.ratio + ratio <= 0) {
    score = {};
    return;
  }
  score.ratio += ratio;
  score.bad += seen.bad;
  score.answers += seen.answers;
  score.expected = expected;
}

Judge::Strongest Judge::strongest() const {
  Strongest found;
  found.scope = &all_;
  const auto look = [&found](const Scope& scope, std::optional<RouteKey> route) {
    for (std::size_t test = 0; test < kTests; ++test) {
      if (scope.scores[test].ratio > found.score.ratio) {
        found = {route, test, &scope, scope.scores[test]};
      }
    }
  };
  look(all_, std::nullopt);
  for (const auto& [route, scope] : routes_) {
    look(scope, route);
  }
  return found;
}

double Judge::evidence() const {
  return verdict_ == Verdict::kBad ? finalEvidence_ : strongest().score.ratio;
}

std::string Judge::explain() const {
  return verdict_ == Verdict::kBad ? finalText_ : describe(strongest());
}

std::string Judge::describe(const Strongest& strongest) const {
  const Samples& seen = strongest.scope->seen;
  std::ostringstream text;
  text << std::fixed << std::setprecision(1);
  if (strongest.score.answers == 0) {
    text << "nothing against it";
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
