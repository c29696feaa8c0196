#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "common/clock.h"
#include "common/priority.h"

/// Several routers with the real limits and routing code before simulated engines, in virtual time.
namespace calicodrift::bench {

struct OverloadScenario {
  std::uint64_t seed = 1;
  std::size_t routers = 3;
  std::size_t engines = 6;
  Milliseconds duration{60'000};
  /// Offered requests a second; callers that were refused or timed out come back on top of it.
  double offeredPerSecond = 0;
  /// Whether the routers limit anything.
  bool limits = true;
};

/// What one group of requests met. A request is all attempts of one caller.
struct GroupResult {
  std::string name;
  double weight = 1;
  std::size_t offered = 0;
  /// Completed within the deadline of an attempt.
  std::size_t completed = 0;
  double completedTokens = 0;
  double offeredTokens = 0;
  std::size_t refusals = 0;
  /// Attempts that ran into their deadline.
  std::size_t timeouts = 0;
  std::vector<double> firstTokenMs;
};

struct OverloadResult {
  GroupResult all;
  std::vector<GroupResult> tenants;
  std::array<GroupResult, 3> priorities;
  std::size_t refusedOverloaded = 0;
  std::size_t refusedDeadline = 0;
  /// Tokens that engines worked on for attempts that ran into their deadline.
  double wastedTokens = 0;
};

OverloadResult runOverloadSimulation(const OverloadScenario& scenario);

/// Completions a second of a closed loop that keeps every batch full: the 1x of this scenario.
double measureCapacity(const OverloadScenario& scenario);

}  // namespace calicodrift::bench
