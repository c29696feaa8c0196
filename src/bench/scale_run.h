#pragma once

#include <cstdint>
#include <string>
#include <utility>
#include <vector>

#include "bench/scale_store.h"
#include "common/clock.h"
#include "hollow/hollow_fleet.h"

namespace calicodrift::bench {

/// What one size is measured with.
struct ScaleRunSettings {
  hollow::HollowFleetSettings fleet;
  Milliseconds joinBound{0};
  /// Longest wait after the last join until no node spreads a change any more.
  Milliseconds settleBound{0};
  /// Window without changes in which processor time and traffic are taken.
  Milliseconds steadyTime{0};
  /// Longest wait for all nodes to notice a failure or a leave.
  Milliseconds noticeBound{0};
  /// Configuration that is published, and how often it changes after the steady window.
  ScaleBundle bundle;
  std::size_t changes = 0;
  /// Nodes that fail at once, and that leave at once afterwards.
  std::size_t failures = 0;
  std::size_t leaves = 0;
};

/// Times from an event until each other node knew, over all pairs of event and node.
struct NoticeTimes {
  double p50Ms = 0;
  double p99Ms = 0;
  double lastMs = 0;
  /// Pairs that did not come within the bound.
  std::size_t missed = 0;
};

struct ChannelRate {
  std::string channel;
  double bytesPerSecond = 0;
  double messagesPerSecond = 0;
};

/// Result of one size; rates are per node.
struct ScaleResult {
  std::size_t nodes = 0;
  /// All knew all members and had a configuration in force within the bound.
  bool joined = false;
  double joinSeconds = 0;
  /// While all nodes join at once, on average.
  double joinBytesPerSecond = 0;
  /// No node spread a change any more when the steady window began.
  bool settled = false;
  std::size_t bundleBytes = 0;
  double cpuPercent = 0;
  double residentBytes = 0;
  /// Payload that was sent, without UDP and IP headers.
  double bytesPerSecond = 0;
  double messagesPerSecond = 0;
  std::vector<ChannelRate> channels;
  /// In the steady window, where no node failed.
  std::uint64_t falseDeaths = 0;
  std::uint64_t suspicions = 0;
  /// From the begin of the write to the store until a change was in force.
  NoticeTimes change;
  NoticeTimes failure;
  NoticeTimes leave;
};

/// Runs a hollow fleet of one size in this process. Fails with kSettingsInvalid where it can't
/// start.
Result<ScaleResult> runScaleSize(const ScaleRunSettings& settings);

}  // namespace calicodrift::bench
