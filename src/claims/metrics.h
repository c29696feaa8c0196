#pragma once

#include <cstddef>

#include "claims/claim_messages.h"
#include "claims/claim_proposer.h"
#include "common/ids.h"
#include "metrics/metrics.h"

namespace calicodrift::claims {

/// All metrics of the claims module.
class ClaimMetrics {
 public:
  explicit ClaimMetrics(prometheus::Registry& registry);

  /// Counts a decided claim of one of this node's own requests.
  void countVerdict(ClaimVerdict verdict);
  /// Counts a vote of this node's replica.
  void countVote(Vote vote);
  void countMalformed() { malformed_.Increment(); }
  void setState(const ClaimView& view, std::size_t votingGroups, std::size_t records);

 private:
  prometheus::Family<prometheus::Counter>& verdicts_;
  prometheus::Family<prometheus::Counter>& votes_;
  prometheus::Counter& malformed_;
  prometheus::Gauge& epoch_;
  prometheus::Gauge& members_;
  prometheus::Gauge& established_;
  prometheus::Gauge& votingGroups_;
  prometheus::Gauge& records_;
};

std::string_view toString(Vote vote);

}  // namespace calicodrift::claims
