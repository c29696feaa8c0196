#include "bench/fault_schedule.h"

#include <algorithm>
#include <random>

namespace calicodrift::bench {
namespace {

constexpr Milliseconds kInstant{0};
/// Longer than a router's limit for a silent engine in the test fleets, shorter than a caller's.
constexpr Milliseconds kShort{500};
constexpr Milliseconds kLong{2000};
/// A leaving back end is watched for longer than the bound that it is held to.
constexpr Milliseconds kLeaveWatch{6000};
constexpr std::int64_t kShortestGapMs = 300;
constexpr std::int64_t kLongestGapMs = 900;

constexpr std::array<FaultRow, kFaultKindCount> kRows{{
    {FaultKind::kKillEngine, "kill_engine", FaultTarget::kEngine, kShort, kLong},
    {FaultKind::kKillRouter, "kill_router", FaultTarget::kRouter, kShort, kLong},
    {FaultKind::kRestartAllRouters, "restart_all_routers", FaultTarget::kAllRouters, kInstant,
     kShort},
    {FaultKind::kPauseEngine, "pause_engine", FaultTarget::kEngine, kShort, kLong},
    {FaultKind::kPauseRouter, "pause_router", FaultTarget::kRouter, kShort, kLong},
    {FaultKind::kPauseService, "pause_service", FaultTarget::kService, kShort, kLong},
    {FaultKind::kCutBackend, "cut_backend", FaultTarget::kBackend, kShort, kLong},
    {FaultKind::kFreezeBackend, "freeze_backend", FaultTarget::kBackend, kShort, kLong},
    {FaultKind::kSwallowRequests, "swallow_requests", FaultTarget::kBackend, kShort, kLong},
    {FaultKind::kSwallowAnswers, "swallow_answers", FaultTarget::kBackend, kShort, kLong},
    {FaultKind::kDelayBackend, "delay_backend", FaultTarget::kBackend, kShort, kLong},
    {FaultKind::kDropAnswers, "drop_answers", FaultTarget::kBackend, kShort, kLong},
    {FaultKind::kCrossAnswers, "cross_answers", FaultTarget::kBackend, kShort, kLong},
    {FaultKind::kCutStreams, "cut_streams", FaultTarget::kBackend, kShort, kLong},
    {FaultKind::kStoreDown, "store_down", FaultTarget::kStore, kLong, 2 * kLong},
    {FaultKind::kStoreSlow, "store_slow", FaultTarget::kStore, kLong, 2 * kLong},
    {FaultKind::kStoreLosesAnswers, "store_loses_answers", FaultTarget::kStore, kLong, 2 * kLong},
    {FaultKind::kEngineLeaves, "engine_leaves", FaultTarget::kEngine, kLeaveWatch, kLeaveWatch},
    {FaultKind::kPlannedStop, "planned_stop", FaultTarget::kRouter, kInstant, kInstant},
    {FaultKind::kSubmitBundle, "submit_bundle", FaultTarget::kNothing, kInstant, kInstant},
    {FaultKind::kRaceBundles, "race_bundles", FaultTarget::kNothing, kInstant, kInstant},
}};

constexpr bool rowsAreOrdered() {
  for (std::size_t index = 0; index < kFaultKindCount; ++index) {
    if (static_cast<std::size_t>(kRows[index].kind) != index) {
      return false;
    }
  }
  return true;
}
static_assert(rowsAreOrdered(), "kRows must list every FaultKind in order");

std::size_t targetCount(FaultTarget target, const FleetSizes& sizes) {
  switch (target) {
    case FaultTarget::kEngine:
      return sizes.engines;
    case FaultTarget::kRouter:
      return sizes.routers;
    case FaultTarget::kService:
      return sizes.services;
    case FaultTarget::kBackend:
      return sizes.engines + sizes.services;
    default:
      return 1;
  }
}

/// Every kind once, in an order of its own.
std::vector<FaultKind> shuffledKinds(std::mt19937_64& random) {
  std::vector<FaultKind> kinds;
  kinds.reserve(kRows.size());
  for (const FaultRow& row : kRows) {
    kinds.push_back(row.kind);
  }
  std::shuffle(kinds.begin(), kinds.end(), random);
  return kinds;
}

std::int64_t pick(std::mt19937_64& random, std::int64_t lowest, std::int64_t highest) {
  return std::uniform_int_distribution<std::int64_t>(lowest, highest)(random);
}

}  // namespace

const FaultRow& faultRow(FaultKind kind) {
  return kRows.at(static_cast<std::size_t>(kind));
}

std::vector<FaultEvent> makeSchedule(std::uint64_t seed, Milliseconds length,
                                     const FleetSizes& sizes) {
  constexpr std::int64_t kTogetherOneIn = 4;
  std::mt19937_64 random(seed);
  std::vector<FaultEvent> events;
  std::vector<FaultKind> left;
  Milliseconds start{0};
  for (;;) {
    if (pick(random, 1, kTogetherOneIn) > 1) {
      start += Milliseconds(pick(random, kShortestGapMs, kLongestGapMs));
    }
    if (start >= length) {
      return events;
    }
    if (left.empty()) {
      left = shuffledKinds(random);
    }
    const FaultRow& row = faultRow(left.back());
    left.pop_back();
    FaultEvent event;
    event.start = start;
    event.kind = row.kind;
    event.duration = Milliseconds(pick(random, row.shortest.count(), row.longest.count()));
    const std::size_t count = targetCount(row.target, sizes);
    event.target = static_cast<std::size_t>(pick(random, 0, static_cast<std::int64_t>(count) - 1));
    events.push_back(event);
  }
}

}  // namespace calicodrift::bench
