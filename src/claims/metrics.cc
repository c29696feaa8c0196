#include "claims/metrics.h"

namespace calicodrift::claims {
namespace {

prometheus::Gauge& gauge(prometheus::Registry& registry, const std::string& name,
                         const std::string& help) {
  return prometheus::BuildGauge().Name(name).Help(help).Register(registry).Add({});
}

}  // namespace

ClaimMetrics::ClaimMetrics(prometheus::Registry& registry)
    : verdicts_(prometheus::BuildCounter()
                    .Name("calicodrift_claims_total")
                    .Help("Claims for this node's own requests, by verdict")
                    .Register(registry)),
      votes_(prometheus::BuildCounter()
                 .Name("calicodrift_claim_votes_total")
                 .Help("Votes of this node's replica, by kind")
                 .Register(registry)),
      malformed_(prometheus::BuildCounter()
                     .Name("calicodrift_claim_malformed_total")
                     .Help("Claim messages that could not be decoded")
                     .Register(registry)
                     .Add({})),
      epoch_(gauge(registry, "calicodrift_claim_epoch", "Epoch of the claim view; 0 for none")),
      members_(gauge(registry, "calicodrift_claim_members", "Nodes in the claim view")),
      established_(gauge(registry, "calicodrift_claim_established",
                         "Whether no earlier claim epoch can form a majority: 1, or may: 0")),
      votingGroups_(gauge(registry, "calicodrift_claim_voting_groups",
                          "Claim groups in which this node votes")),
      records_(gauge(registry, "calicodrift_claim_records", "Claims that this node remembers")) {}

void ClaimMetrics::countVerdict(ClaimVerdict verdict) {
  verdicts_.Add({{"verdict", std::string(toString(verdict))}}).Increment();
}

void ClaimMetrics::countVote(Vote vote) {
  votes_.Add({{"vote", std::string(toString(vote))}}).Increment();
}

void ClaimMetrics::setState(const ClaimView& view, std::size_t votingGroups, std::size_t records) {
  epoch_.Set(static_cast<double>(view.epoch.value()));
  members_.Set(static_cast<double>(view.members.size()));
  established_.Set(view.established ? 1 : 0);
  votingGroups_.Set(static_cast<double>(votingGroups));
  records_.Set(static_cast<double>(records));
}

std::string_view toString(Vote vote) {
  switch (vote) {
    case Vote::kAccepted:
      return "accepted";
    case Vote::kHeldByOther:
      return "held_by_other";
    case Vote::kCompleted:
      return "completed";
    case Vote::kAbstained:
      return "abstained";
    case Vote::kFull:
      return "full";
    case Vote::kKeyTooOld:
      return "key_too_old";
    case Vote::kKeyFromFuture:
      return "key_from_future";
    case Vote::kOtherEpoch:
      return "other_epoch";
    case Vote::kGivenUp:
      return "given_up";
  }
  return "abstained";
}

}  // namespace calicodrift::claims
