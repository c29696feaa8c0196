#pragma once

#include <cstdint>
#include <vector>

#include "membership/member_table.h"
#include "metrics/metrics.h"

namespace calicodrift::membership {

/// Counted by the state machine since its start.
struct MembershipCounters {
  std::uint64_t probes = 0;
  std::uint64_t indirectProbes = 0;
  std::uint64_t failedProbes = 0;
  std::uint64_t suspicions = 0;
  std::uint64_t deaths = 0;
  /// Times that this node contradicted others' suspicion or belief in its death.
  std::uint64_t refutations = 0;
  /// Of these, times that it found itself declared dead.
  std::uint64_t declaredDead = 0;
  /// Times that another process with this node's name was heard of.
  std::uint64_t nameConflicts = 0;
  std::uint64_t joins = 0;
  std::uint64_t leaves = 0;
  std::uint64_t restarts = 0;
  std::uint64_t joinRequests = 0;
  std::uint64_t joinAnswers = 0;
  std::uint64_t joinsPutOff = 0;
  std::uint64_t pagesSent = 0;
  std::uint64_t synchronizations = 0;
  std::uint64_t malformed = 0;
  /// Times that this node noticed that it had been paused itself.
  std::uint64_t pauses = 0;
};

/// The Prometheus form of the counters; brought up to date before each scrape.
class MembershipMetrics {
 public:
  explicit MembershipMetrics(prometheus::Registry& registry);
  void update(const MembershipCounters& counters, std::size_t presentMembers);

 private:
  struct Row {
    std::uint64_t MembershipCounters::*field;
    prometheus::Counter* counter;
  };
  std::vector<Row> rows_;
  prometheus::Gauge& members_;
};

}  // namespace calicodrift::membership
