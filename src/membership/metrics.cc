#include "membership/metrics.h"

#include <array>

namespace calicodrift::membership {
namespace {

struct CounterName {
  std::uint64_t MembershipCounters::*field;
  const char* event;
};

constexpr std::array kCounterNames{
    CounterName{&MembershipCounters::probes, "probe"},
    CounterName{&MembershipCounters::indirectProbes, "indirect_probe"},
    CounterName{&MembershipCounters::failedProbes, "failed_probe"},
    CounterName{&MembershipCounters::suspicions, "suspicion"},
    CounterName{&MembershipCounters::deaths, "death"},
    CounterName{&MembershipCounters::refutations, "refutation"},
    CounterName{&MembershipCounters::declaredDead, "declared_dead"},
    CounterName{&MembershipCounters::nameConflicts, "name_conflict"},
    CounterName{&MembershipCounters::joins, "join"},
    CounterName{&MembershipCounters::leaves, "leave"},
    CounterName{&MembershipCounters::restarts, "restart"},
    CounterName{&MembershipCounters::joinRequests, "join_request"},
    CounterName{&MembershipCounters::joinAnswers, "join_answer"},
    CounterName{&MembershipCounters::joinsPutOff, "join_put_off"},
    CounterName{&MembershipCounters::pagesSent, "page_sent"},
    CounterName{&MembershipCounters::synchronizations, "synchronization"},
    CounterName{&MembershipCounters::malformed, "malformed_message"},
    CounterName{&MembershipCounters::pauses, "own_pause"},
};

}  // namespace

MembershipMetrics::MembershipMetrics(prometheus::Registry& registry)
    : members_(prometheus::BuildGauge()
                   .Name("calicodrift_members")
                   .Help("Router nodes believed to be alive, this one included")
                   .Register(registry)
                   .Add({})) {
  auto& family = prometheus::BuildCounter()
                     .Name("calicodrift_membership_events_total")
                     .Help("Events of the membership protocol by kind")
                     .Register(registry);
  for (const CounterName& name : kCounterNames) {
    rows_.push_back({name.field, &family.Add({{"event", name.event}})});
  }
}

void MembershipMetrics::update(const MembershipCounters& counters, std::size_t presentMembers) {
  for (const Row& row : rows_) {
    const auto total = static_cast<double>(counters.*row.field);
    row.counter->Increment(total - row.counter->Value());
  }
  members_.Set(static_cast<double>(presentMembers));
}

}  // namespace calicodrift::membership
