#pragma once

#include <map>

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
  /// version to be rejected in n answers: below n x e^-threshold for each test.
  double threshold = 12;
  /// Answers of the candidate below which it is never called sound.
  std::uint32_t leastAnswers = 40;
  /// What the stable version did is looked at over so long, so that a fault that strikes both shows
  /// in both.
  Milliseconds window{5000};
};

/// Judges the candidate of one order from the sums over all nodes: cumulative log-likelihood ratios
/// (CUSUM) for failures, slow starts and slow pace, on each route and over all of them, against
/// what the stable version did in the same seconds. Every node runs one on the sums that it hears,
/// so that no node is needed for a rejection. No I/O.
class Judge {
 public:
  explicit Judge(JudgeSettings settings) : settings_(settings) {}

  /// @param sum what all nodes have seen, with this one. Counts may fall where a node was lost.
  Verdict update(const OrderObservations& sum, MonotonicTime now);
  Verdict verdict() const;
  /// The highest of the present ratios, and a text for logs with the figures behind it: route,
  /// test, counts of both versions.
  double evidence() const;
  std::string explain() const;

 private:
  JudgeSettings settings_;
};

}  // namespace calicodrift::service_rollout
