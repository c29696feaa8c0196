#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <string_view>
#include <vector>

#include "common/clock.h"

namespace calicodrift::bench {

/// Every fault that the soak injects. The list is closed: a new kind needs a row in the table.
enum class FaultKind {
  kKillEngine,
  kKillRouter,
  kRestartAllRouters,
  kPauseEngine,
  kPauseRouter,
  kPauseService,
  kCutBackend,
  kFreezeBackend,
  kSwallowRequests,
  kSwallowAnswers,
  kDelayBackend,
  kDropAnswers,
  kCrossAnswers,
  kCutStreams,
  kStoreDown,
  kStoreSlow,
  kStoreLosesAnswers,
  kEngineLeaves,
  kPlannedStop,
  kSubmitBundle,
  kRaceBundles,
  kCount,
};
inline constexpr std::size_t kFaultKindCount = static_cast<std::size_t>(FaultKind::kCount);

/// What a fault strikes. `kBackend` is an engine or a service, by the proxy in front of it.
enum class FaultTarget { kEngine, kRouter, kService, kBackend, kStore, kAllRouters, kNothing };

struct FaultRow {
  FaultKind kind;
  /// Name in the report and at the fleet's control port.
  std::string_view name;
  FaultTarget target;
  Milliseconds shortest;
  Milliseconds longest;
};

const FaultRow& faultRow(FaultKind kind);

/// How many targets of each sort a fleet has.
struct FleetSizes {
  std::size_t engines = 0;
  std::size_t services = 0;
  std::size_t routers = 0;
};

/// One fault: from `start` (after the run's start) for `duration`, on target number `target`.
/// Back ends are numbered engines first, then services.
struct FaultEvent {
  Milliseconds start{0};
  Milliseconds duration{0};
  FaultKind kind = FaultKind::kCount;
  std::size_t target = 0;

  bool operator==(const FaultEvent&) const = default;
};

/// The faults of one run, in order of their start. The same arguments give the same schedule. Each
/// kind comes once before any comes again, so that a run of 20 s meets all; one in four faults
/// starts together with the one before it.
std::vector<FaultEvent> makeSchedule(std::uint64_t seed, Milliseconds length,
                                     const FleetSizes& sizes);

}  // namespace calicodrift::bench
